/// The platform's table service in a test: down, slow, answers lost after the
/// write took effect, stale reads, and unreachable from single processes.
#pragma once

#include "ProcessSet.h"
#include "table/MemoryTable.h"

#include <memory>
#include <set>

namespace lacewing::fakes {

struct TableFaults
{
  bool m_down = false;                ///< requests are lost
  bool m_loseAnswers = false;         ///< writes take effect, answers are lost
  Duration m_delay = milliseconds(1); ///< one way
  /// Reads answer from a copy that is this old; zero for the present state.
  Duration m_readLag{};
  std::set<VmId> m_unreachableFrom;
  /// The next commit takes effect this much later, also after its timeout.
  Duration m_holdNextCommit{};
};

class FaultyTable
{
public:
  using CommitDone = std::function<void(const table::CommitResult&)>;
  using ReadDone = std::function<void(const table::ReadResult&)>;

  FaultyTable(EventQueue& aQueue, ProcessSet& aProcesses)
    : m_queue(aQueue)
    , m_processes(aProcesses)
  {
    m_copies.emplace(Time(), m_table);
  }

  TableFaults& Faults() { return m_faults; }
  const table::MemoryTable& Table() const { return m_table; }
  std::uint64_t Writes() const { return m_writes; }
  std::uint64_t Reads() const { return m_reads; }
  /// Without copies of former states there are no stale reads, and commits are
  /// cheaper.
  void KeepCopies(bool aKeep) { m_keepsCopies = aKeep; }
  /// Called with each commit that takes effect.
  void OnApplied(std::function<void(const table::Commit&)> aHook)
  {
    m_onApplied = std::move(aHook);
  }
  /// Applies a commit at once, without faults.
  table::CommitResult ApplyNow(const table::Commit& aCommit)
  {
    auto result = m_table.Apply(aCommit);
    KeepCopy();
    if (m_onApplied && result.m_state == table::CommitState::Committed) {
      m_onApplied(aCommit);
    }
    return result;
  }

  /// Calls back exactly once in the calling incarnation; `Unknown` after the
  /// timeout.
  void Submit(const VmId& aFrom,
              const table::Commit& aCommit,
              Duration aTimeout,
              const CommitDone& aDone)
  {
    ++m_writes;
    const auto answer = Answer<table::CommitResult>(aFrom, aTimeout, aDone);
    const Duration hold = std::exchange(m_faults.m_holdNextCommit, {});
    if (IsLost(aFrom)) {
      return;
    }
    m_queue.After(hold + m_faults.m_delay, [this, aFrom, aCommit, answer] {
      if (IsLost(aFrom)) {
        return;
      }
      const auto result = ApplyNow(aCommit);
      if (!m_faults.m_loseAnswers) {
        m_queue.After(m_faults.m_delay, [answer, result] { answer(result); });
      }
    });
  }

  /// Calls back exactly once in the calling incarnation; not `m_ok` after the
  /// timeout.
  void Fetch(const VmId& aFrom,
             const table::Read& aRead,
             Duration aTimeout,
             const ReadDone& aDone)
  {
    ++m_reads;
    const auto answer = Answer<table::ReadResult>(aFrom, aTimeout, aDone);
    if (IsLost(aFrom)) {
      return;
    }
    m_queue.After(m_faults.m_delay, [this, aFrom, aRead, answer] {
      if (IsLost(aFrom)) {
        return;
      }
      const auto result = Source().Get(aRead);
      m_queue.After(m_faults.m_delay, [answer, result] { answer(result); });
    });
  }

private:
  bool IsLost(const VmId& aFrom) const
  {
    return m_faults.m_down || m_faults.m_unreachableFrom.contains(aFrom);
  }

  /// A function that passes on the first result, be it the answer or, after
  /// the timeout, an empty one.
  template<typename ResultType>
  std::function<void(const ResultType&)> Answer(
    const VmId& aFrom,
    Duration aTimeout,
    const std::function<void(const ResultType&)>& aDone)
  {
    const Incarnation caller = m_processes.CurrentIncarnation(aFrom);
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, aFrom, caller, answered, aDone](
                          const ResultType& aResult) {
      if (*answered) {
        return;
      }
      *answered = true;
      m_processes.Deliver(aFrom, caller, [aDone, aResult] { aDone(aResult); });
    };
    m_queue.After(aTimeout, [answer] { answer(ResultType()); });
    return answer;
  }

  void KeepCopy()
  {
    if (!m_keepsCopies) {
      return;
    }
    m_copies.insert_or_assign(m_queue.Now(), m_table);
    while (m_copies.size() > kMaxCopies) {
      m_copies.erase(m_copies.begin());
    }
  }

  const table::MemoryTable& Source() const
  {
    if (m_faults.m_readLag == Duration::zero() || !m_keepsCopies) {
      return m_table;
    }
    auto copy = m_copies.upper_bound(m_queue.Now() - m_faults.m_readLag);
    return copy == m_copies.begin() ? copy->second : std::prev(copy)->second;
  }

  static constexpr std::size_t kMaxCopies = 64;

  EventQueue& m_queue;
  ProcessSet& m_processes;
  table::MemoryTable m_table;
  std::map<Time, table::MemoryTable> m_copies;
  TableFaults m_faults;
  bool m_keepsCopies = true;
  std::function<void(const table::Commit&)> m_onApplied;
  std::uint64_t m_writes = 0;
  std::uint64_t m_reads = 0;
};

} // namespace lacewing::fakes
