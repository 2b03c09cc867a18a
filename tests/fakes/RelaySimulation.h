/// Simulates a relay under virtual time: frames that are late, doubled or lost,
/// pauses, and kills. Its orders pass the gate of the true relay.
#pragma once

#include "relay/OrderGate.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace lacewing::fakes {

class RelaySimulation
{
public:
  using Function = std::function<void()>;
  using Schedule = std::function<void(Time, Function)>;
  /// Passes what a worker has answered on to the leader.
  using Reply = std::function<void(Function)>;
  using Execute = std::function<void(Reply)>;

  /// `aNow` is the clock of the simulation. With `aChecksOrders` false the
  /// relay passes on orders of any age and of replaced leaders.
  RelaySimulation(const Time& aNow,
                  std::mt19937_64& aRandom,
                  Schedule aSchedule,
                  bool aChecksOrders)
    : m_now(aNow)
    , m_random(aRandom)
    , m_schedule(std::move(aSchedule))
    , m_checksOrders(aChecksOrders)
  {
  }

  /// Sends the beats that are due, and injects faults.
  void Step(bool aFaulty)
  {
    m_faulty = aFaulty;
    if (HasFault(0.003)) {
      m_pausedUntil = std::max(m_pausedUntil, m_now + Between(4000, 9000));
    } else if (HasFault(0.001)) {
      Kill();
    }
    if (IsPaused() || m_now < m_nextBeat) {
      return;
    }
    m_nextBeat = m_now + milliseconds(100);
    for (const auto& [term, link] : m_links) {
      SendBeat(link);
    }
  }

  /// True if the leader of the term sends orders by this relay at present.
  bool IsUsable(std::uint64_t aTerm)
  {
    constexpr Duration kOldestBeat = milliseconds(500);
    return m_now <= LinkOf(aTerm)->m_beatAt + kOldestBeat;
  }

  /// Calls `aExecute` when the command reaches the worker, or `aDropped` when
  /// the leader reads that the relay has dropped the order.
  void Send(std::uint64_t aTerm, Execute aExecute, Function aDropped)
  {
    const std::shared_ptr<Link> link = LinkOf(aTerm);
    Order order;
    order.m_call = ++link->m_lastCall;
    order.m_frame.m_term = aTerm;
    order.m_frame.m_beat = link->m_beat;
    order.m_execute = std::move(aExecute);
    order.m_dropped = std::move(aDropped);
    if (HasFault(0.01)) {
      return; // lost
    }
    const int copies = HasFault(0.02) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      m_schedule(Arrival(link->m_toRelay),
                 [this, link, order] { OnOrder(link, order); });
    }
  }

  bool IsPaused() const { return m_now < m_pausedUntil; }
  /// Orders that were dropped for their age or their term.
  std::size_t Dropped() const { return m_dropped; }

private:
  struct Link
  {
    explicit Link(relay::TermFence& aFence)
      : m_gate(aFence)
    {
    }
    relay::OrderGate m_gate;
    relay::CallId m_lastCall = 0;
    Time m_beat{};     ///< that the leader has heard last
    Time m_beatAt{};   ///< when it heard it
    Time m_toRelay{};  ///< arrival of the last frame; none overtakes it
    Time m_toLeader{}; ///< likewise
    bool m_lost = false;
  };
  struct Order
  {
    relay::CallId m_call = 0;
    relay::OrderFrame m_frame;
    Execute m_execute;
    Function m_dropped;
  };

  Duration Between(int aMin, int aMax)
  {
    return milliseconds(std::uniform_int_distribution<>(aMin, aMax)(m_random));
  }
  bool HasFault(double aProbability)
  {
    return m_faulty &&
           std::uniform_real_distribution<>(0, 1)(m_random) < aProbability;
  }
  Time Arrival(Time& aLast)
  {
    const Duration delay = HasFault(0.01) ? Between(200, 3000) : Between(1, 20);
    aLast = std::max(aLast, m_now + delay);
    return aLast;
  }

  std::shared_ptr<Link> LinkOf(std::uint64_t aTerm)
  {
    std::shared_ptr<Link>& link = m_links[aTerm];
    if (!link) {
      link = std::make_shared<Link>(m_fence);
    }
    return link;
  }

  /// All connections are lost, and the next process knows nothing.
  void Kill()
  {
    for (const auto& [term, link] : m_links) {
      link->m_lost = true;
    }
    m_links.clear();
    m_fence = {};
    m_pausedUntil = m_now + Between(200, 2000);
  }

  void SendBeat(const std::shared_ptr<Link>& aLink)
  {
    const Time beat = aLink->m_gate.Beat(m_now);
    m_schedule(Arrival(aLink->m_toLeader), [this, aLink, beat] {
      aLink->m_beat = beat;
      aLink->m_beatAt = m_now;
    });
  }

  void OnOrder(const std::shared_ptr<Link>& aLink, const Order& aOrder)
  {
    if (aLink->m_lost) {
      return;
    }
    if (IsPaused()) {
      m_schedule(m_pausedUntil,
                 [this, aLink, aOrder] { OnOrder(aLink, aOrder); });
      return;
    }
    using relay::OrderVerdict;
    const OrderVerdict verdict =
      aLink->m_gate.Check(m_now, aOrder.m_frame, aOrder.m_call);
    if (verdict == OrderVerdict::Repeated) {
      return;
    }
    if (verdict != OrderVerdict::Accepted && m_checksOrders) {
      ++m_dropped;
      Answer(aLink, aOrder.m_dropped);
      return;
    }
    m_schedule(m_now + Between(1, 20), [this, aLink, aOrder] {
      aOrder.m_execute(
        [this, aLink](Function aAnswer) { Answer(aLink, std::move(aAnswer)); });
    });
  }

  void Answer(const std::shared_ptr<Link>& aLink, Function aAnswer)
  {
    if (aLink->m_lost) {
      return;
    }
    if (IsPaused()) {
      m_schedule(m_pausedUntil,
                 [this, aLink, aAnswer] { Answer(aLink, aAnswer); });
      return;
    }
    m_schedule(Arrival(aLink->m_toLeader), std::move(aAnswer));
  }

  const Time& m_now;
  std::mt19937_64& m_random;
  Schedule m_schedule;
  bool m_checksOrders;
  bool m_faulty = false;
  Time m_pausedUntil{};
  Time m_nextBeat{};
  relay::TermFence m_fence;
  std::map<std::uint64_t, std::shared_ptr<Link>> m_links; ///< by term
  std::size_t m_dropped = 0;
};

} // namespace lacewing::fakes
