/// A TCP connection that carries frames, each with its length before it, in
/// both directions. Frames that are sent in one turn of the event loop leave in
/// one write.
#pragma once

#include "core/Verdict.h"
#include "net/Address.h"
#include "net/Loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event;
struct evconnlistener;
struct sockaddr;

namespace lacewing::net {

struct FrameHooks
{
  /// A whole frame has arrived. The bytes are valid during the call.
  std::function<void(std::string_view aFrame)> m_onFrame;
  /// The connection has ended or could not be made; nothing follows. Called
  /// once, and not for `Close`.
  std::function<void()> m_onClosed;
};

/// Must not be destroyed from within one of its hooks.
class FrameConnection
{
public:
  /// Longest frame; a peer that announces a longer one is cut off.
  static constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

  /// Takes over a connected socket.
  FrameConnection(Loop& aLoop, int aSocket, FrameHooks aHooks);
  /// Connects to the address. Frames may be sent at once; they wait.
  FrameConnection(Loop& aLoop, const Address& aTo, FrameHooks aHooks);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Send(std::string_view aFrame);
  /// Ends the connection; frames that wait are dropped and no hook runs.
  void Close();
  bool IsOpen() const { return m_socket >= 0; }
  /// Bytes that wait to be written.
  std::size_t UnsentBytes() const { return m_output.size() - m_written; }

private:
  static void OnReadable(int aSocket, short aWhat, void* aSelf);
  static void OnWritable(int aSocket, short aWhat, void* aSelf);
  void Watch(Loop& aLoop);
  void Read();
  /// False if the peer has sent a frame that is too long.
  bool TakeFrames();
  void Write();
  /// Ends the connection and tells its owner.
  void Fail();

  FrameHooks m_hooks;
  int m_socket = -1;
  event* m_readable = nullptr;
  event* m_writable = nullptr;
  std::string m_input;
  std::string m_output;
  std::size_t m_written = 0; ///< of `m_output`
};

/// Accepts connections that carry frames.
class FrameListener
{
public:
  using OnAccepted = std::function<void(int aSocket)>;

  FrameListener(Loop& aLoop, OnAccepted aOnAccepted);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  /// Errors: `Unavailable` if the address cannot be listened on.
  Result<void> Listen(const Address& aAddress);

private:
  static void OnAccept(evconnlistener* aListener,
                       int aSocket,
                       sockaddr* aFrom,
                       int aLength,
                       void* aSelf);

  Loop& m_loop;
  OnAccepted m_onAccepted;
  evconnlistener* m_listener = nullptr;
};

} // namespace lacewing::net
