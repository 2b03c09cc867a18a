/// Bounds of a connection between entry daemons, and the pause between two
/// attempts to connect. Decisions only; no I/O and no clock.
#pragma once

#include "core/Time.h"
#include "peer/PeerFault.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lacewing::peer {

struct PeerLimits
{
  std::size_t m_maxStreams = 1024; ///< open at once, per connection
  /// Bytes of messages that are incomplete or not yet sent, per connection and
  /// direction.
  std::size_t m_maxQueuedBytes = 16 * 1024 * 1024;
};

/// Counts streams and bytes of a connection against its bounds.
class ConnectionBudget
{
public:
  explicit ConnectionBudget(PeerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Takes one stream and its bytes, or names the bound that is reached.
  std::optional<PeerFault> Take(std::size_t aBytes)
  {
    if (m_streams >= m_limits.m_maxStreams) {
      return PeerFault::TooManyStreams;
    }
    if (aBytes > m_limits.m_maxQueuedBytes - m_bytes) {
      return PeerFault::TooManyBytes;
    }
    ++m_streams;
    m_bytes += aBytes;
    return std::nullopt;
  }

  void Release(std::size_t aBytes)
  {
    --m_streams;
    m_bytes -= aBytes;
  }

  std::size_t Streams() const { return m_streams; }
  std::size_t Bytes() const { return m_bytes; }

private:
  PeerLimits m_limits;
  std::size_t m_streams = 0;
  std::size_t m_bytes = 0;
};

struct LivenessOptions
{
  /// Silence after which a waiting client asks for a sign of life.
  Duration m_pingAfter = seconds(1);
  /// Silence after that question from which the peer counts as suspect.
  Duration m_suspectAfter = milliseconds(500);
  /// Silence after that question, at which the connection is given up.
  Duration m_silenceBound = seconds(5);
};

enum class LivenessAction : std::uint8_t
{
  None,
  Ping,
  Close,
};

/// Finds connections whose peer or network path is gone without a word. TCP
/// alone notices that only after minutes, and after a cut it resumes as late,
/// while a new connection works at once.
class LivenessCheck
{
public:
  explicit LivenessCheck(LivenessOptions aOptions)
    : m_options(aOptions)
  {
  }

  /// To be called periodically, with the time of the last bytes received and
  /// whether replies are awaited.
  LivenessAction Check(Time aNow, Time aLastReceived, bool aWaiting)
  {
    if (!aWaiting || (m_pingSent && aLastReceived >= *m_pingSent)) {
      m_pingSent.reset();
    }
    if (!aWaiting) {
      m_waitingSince.reset();
      return LivenessAction::None;
    }
    if (m_pingSent) {
      return aNow - *m_pingSent >= m_options.m_silenceBound
               ? LivenessAction::Close
               : LivenessAction::None;
    }
    if (!m_waitingSince) {
      m_waitingSince = aNow;
    }
    if (aNow - std::max(aLastReceived, *m_waitingSince) <
        m_options.m_pingAfter) {
      return LivenessAction::None;
    }
    m_pingSent = aNow;
    return LivenessAction::Ping;
  }

  /// True while a peer that owes a reply has not answered the question.
  bool IsSuspect(Time aNow) const
  {
    return m_pingSent && aNow - *m_pingSent >= m_options.m_suspectAfter;
  }

private:
  LivenessOptions m_options;
  std::optional<Time> m_waitingSince;
  std::optional<Time> m_pingSent;
};

struct BackoffOptions
{
  Duration m_first = milliseconds(50);
  Duration m_longest = seconds(2);
};

/// Exponential pause after failed attempts, with jitter so that the members do
/// not reconnect to a restarted one at the same moment.
class ReconnectBackoff
{
public:
  explicit ReconnectBackoff(BackoffOptions aOptions)
    : m_options(aOptions)
    , m_pause(aOptions.m_first)
  {
  }

  bool MayConnect(Time aNow) const { return aNow >= m_next; }
  Time NextAttempt() const { return m_next; }
  /// True from a failed attempt to the next successful one.
  bool HasFailed() const { return m_next != Time(); }

  /// The jitter is uniform in 0 to 1; the pause lies between half and the whole
  /// of the present step.
  void OnFailure(Time aNow, double aJitter)
  {
    constexpr double kHalf = 0.5;
    m_next = aNow + Scale(m_pause, kHalf + kHalf * aJitter);
    m_pause = std::min(m_pause * 2, m_options.m_longest);
  }

  void OnSuccess()
  {
    m_pause = m_options.m_first;
    m_next = Time();
  }

private:
  BackoffOptions m_options;
  Duration m_pause;
  Time m_next;
};

} // namespace lacewing::peer
