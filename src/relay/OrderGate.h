/// Decides whether a relay carries out an order. An order that has waited, in
/// the network or in a relay that was paused, is dropped: its leader may have
/// been replaced, its job cancelled, or its worker drained meanwhile.
///
/// Does no I/O and reads no clock.
#pragma once

#include "relay/RelayFrames.h"

namespace lacewing::relay {

/// An order that may be older is dropped.
inline constexpr Duration kOrderLifetime = milliseconds(700);

/// Longest time from the decision to start a task until its worker has the
/// command, also through a relay.
inline constexpr Duration kStartDelivery = seconds(1);
static_assert(kOrderLifetime < kStartDelivery);

/// Time for the two ways between the leader and a relay, by which the leader
/// waits longer for an answer.
inline constexpr Duration kTransit = milliseconds(150);

enum class OrderVerdict : std::uint8_t
{
  Accepted,
  Late,       ///< it may be older than `kOrderLifetime`
  Superseded, ///< a later leader is known
  Repeated,   ///< an order with this or a later number came before
};

/// Highest term that a daemon has heard of, over all connections.
class TermFence
{
public:
  void OnTerm(std::uint64_t aTerm)
  {
    m_highest = aTerm > m_highest ? aTerm : m_highest;
  }
  bool IsSuperseded(std::uint64_t aTerm) const { return aTerm < m_highest; }

private:
  std::uint64_t m_highest = 0;
};

/// The orders of one connection.
class OrderGate
{
public:
  /// The fence outlives the gate.
  explicit OrderGate(TermFence& aFence)
    : m_fence(aFence)
  {
  }

  /// The clock to send in the next frame to the leader.
  Time Beat(Time aNow);
  /// Call for each order in the order of arrival. `aNow` is the present time,
  /// not that of the reading of the frame.
  OrderVerdict Check(Time aNow, const OrderFrame& aFrame, CallId aCall);

private:
  TermFence& m_fence;
  Time m_firstBeat = Time::max(); ///< sent on this connection
  CallId m_lastCall = 0;
};

} // namespace lacewing::relay

template<>
struct lacewing::EnumNames<lacewing::relay::OrderVerdict>
{
  using Verdict = lacewing::relay::OrderVerdict;
  static constexpr std::array kTable = {
    std::pair{ Verdict::Accepted, std::string_view("accepted") },
    std::pair{ Verdict::Late, std::string_view("late") },
    std::pair{ Verdict::Superseded, std::string_view("superseded") },
    std::pair{ Verdict::Repeated, std::string_view("repeated") },
  };
};
