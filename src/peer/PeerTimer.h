/// A timer on the event loop that can be stopped and ends with its owner.
#pragma once

#include "core/Time.h"
#include "net/Loop.h"

#include <functional>

struct event;

namespace lacewing::peer {

class PeerTimer
{
public:
  PeerTimer(net::Loop& aLoop, std::function<void()> aFunction);
  ~PeerTimer();
  PeerTimer(const PeerTimer&) = delete;
  PeerTimer& operator=(const PeerTimer&) = delete;

  /// Calls the function once after the delay. A pending call is moved.
  void Start(Duration aDelay);
  /// Calls the function once, in the next turn of the loop.
  void StartSoon();
  void Stop();

private:
  static void OnEvent(int aSocket, short aWhat, void* aSelf);

  std::function<void()> m_function;
  event* m_event;
};

} // namespace lacewing::peer
