/// Message passing between processes in a test, with faults on every link:
/// loss, delay, duplication, reordering and cuts in one or both directions.
#pragma once

#include "ProcessSet.h"

#include <random>
#include <set>
#include <utility>

namespace lacewing::fakes {

struct LinkFaults
{
  double m_loss = 0.0;        ///< probability that a message is lost
  double m_duplication = 0.0; ///< probability that it arrives twice
  Duration m_baseDelay = milliseconds(1);
  /// A random extra delay up to this bound, which also reorders messages.
  Duration m_jitter{};
};

/// A fault of the next message only.
struct MessageFault
{
  bool m_lose = false;
  bool m_duplicate = false;
  Duration m_delay{};
  Duration m_copyDelay{}; ///< further delay of the second copy
};

/// Named faults of a single message.
enum class SingleFault : std::uint8_t
{
  Lose,
  Delay,     ///< by `kFaultDelay`
  Duplicate, ///< with a second copy after `kFaultDelay`
  Reorder,   ///< behind messages that are sent shortly after it
};

class FaultyNetwork
{
public:
  FaultyNetwork(EventQueue& aQueue, ProcessSet& aProcesses, std::uint64_t aSeed)
    : m_queue(aQueue)
    , m_processes(aProcesses)
    , m_random(aSeed)
  {
  }

  LinkFaults& Faults() { return m_faults; }
  MessageFault& NextMessage() { return m_next; }

  static constexpr Duration kFaultDelay = milliseconds(1500);
  static constexpr Duration kReorderDelay = milliseconds(20);

  /// The fault hits the next message on any link.
  void FaultNext(SingleFault aFault)
  {
    m_next = {};
    m_next.m_lose = aFault == SingleFault::Lose;
    m_next.m_duplicate = aFault == SingleFault::Duplicate;
    m_next.m_copyDelay = kFaultDelay;
    if (aFault == SingleFault::Delay) {
      m_next.m_delay = kFaultDelay;
    }
    if (aFault == SingleFault::Reorder) {
      m_next.m_delay = kReorderDelay;
    }
  }

  /// Cuts or restores the direction from one VM to another.
  void SetCut(const VmId& aFrom, const VmId& aTo, bool aCut)
  {
    if (aCut) {
      m_cuts.emplace(aFrom, aTo);
    } else {
      m_cuts.erase({ aFrom, aTo });
    }
  }

  bool IsCut(const VmId& aFrom, const VmId& aTo) const
  {
    return m_cuts.contains({ aFrom, aTo });
  }

  /// Calls the function in the receiving process when the message arrives. A
  /// message that is under way when the link is cut is lost.
  void Send(const VmId& aFrom,
            const VmId& aTo,
            const std::function<void()>& aArrive)
  {
    const MessageFault fault = std::exchange(m_next, {});
    const bool twice = fault.m_duplicate || Chance(m_faults.m_duplication);
    const int copies = twice ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (fault.m_lose || Chance(m_faults.m_loss)) {
        continue;
      }
      const Duration extra = copy == 0 ? Duration() : fault.m_copyDelay;
      const Duration delay = fault.m_delay + extra + NextDelay();
      m_queue.After(delay, [this, aFrom, aTo, aArrive] {
        if (!IsCut(aFrom, aTo)) {
          m_processes.Deliver(
            aTo, m_processes.CurrentIncarnation(aTo), aArrive);
        }
      });
    }
  }

private:
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < aProbability;
  }

  Duration NextDelay()
  {
    const auto bound = m_faults.m_jitter.count();
    const auto extra =
      std::uniform_int_distribution<Duration::rep>(0, bound)(m_random);
    return m_faults.m_baseDelay + Duration(extra);
  }

  EventQueue& m_queue;
  ProcessSet& m_processes;
  std::mt19937_64 m_random;
  LinkFaults m_faults;
  MessageFault m_next;
  std::set<std::pair<VmId, VmId>> m_cuts;
};

} // namespace lacewing::fakes
