/// A process that keeps rows: group commit on the faulty table under virtual
/// time, with one fault at a chosen operation.
#pragma once

#include "FaultyTable.h"
#include "daemon/RowAccess.h"

namespace lacewing::fakes {

/// What happens to one operation on the table.
enum class RowFault
{
  None,
  AnswerLost, ///< takes effect, no answer
  NotApplied, ///< never reaches the table, which the caller is told
  Lost,       ///< never reaches the table, no answer
  Slow,       ///< takes effect after its timeout
  Down,       ///< the table is down from now on for some seconds
  Overtaken,  ///< a hook runs just before it takes effect
};

class RowOwner
{
public:
  static constexpr Duration kTimeout = seconds(1);
  static constexpr Duration kDown = seconds(15);

  RowOwner(EventQueue& aQueue,
           ProcessSet& aProcesses,
           FaultyTable& aTable,
           VmId aVm)
    : m_queue(aQueue)
    , m_table(aTable)
    , m_vm(std::move(aVm))
  {
    aProcesses.Start(m_vm);
  }

  /// Lets the fault happen at the operation with the number, from 1.
  void Inject(RowFault aFault, int aOperation)
  {
    m_fault = aFault;
    m_faultAt = aOperation;
  }
  void OnOvertaken(std::function<void()> aHook)
  {
    m_overtaken = std::move(aHook);
  }
  int Operations() const { return m_operations; }
  /// Sets the time of day forward or back.
  void SetClock(Duration aOffset) { m_clockOffset = aOffset; }

  daemon::RowAccess Access()
  {
    daemon::RowAccess access;
    access.m_fetch = [this](const table::Read& aRead, auto aDone) {
      Fetch(aRead, aDone);
    };
    access.m_write = [this](table::RecordWrite aWrite, auto aDone) {
      m_records.emplace(*m_group.Add(std::move(aWrite)), std::move(aDone));
      Schedule();
    };
    access.m_after = [this](Duration aDelay, std::function<void()> aFunction) {
      m_queue.After(aDelay, std::move(aFunction));
    };
    access.m_now = [this] { return m_queue.Now(); };
    access.m_wallMicros = [this] {
      return (m_queue.Now() + m_clockOffset).time_since_epoch().count();
    };
    access.m_onMalformed = [this](const JobId&) { ++m_malformed; };
    return access;
  }

private:
  /// Ticks when the group commit has something to do.
  void Schedule()
  {
    const auto wakeup = m_group.NextWakeup();
    if (!wakeup || (m_nextTick > m_queue.Now() && m_nextTick <= *wakeup)) {
      return;
    }
    m_nextTick = std::max(*wakeup, m_queue.Now() + milliseconds(2));
    m_queue.At(m_nextTick, [this] { Carry(m_group.OnTick(m_queue.Now())); });
  }

  RowFault NextFault()
  {
    return ++m_operations == m_faultAt ? m_fault : RowFault::None;
  }

  /// Applies what is common to reads and writes; true if the operation is not
  /// to reach the table.
  bool Meet(RowFault aFault)
  {
    if (aFault == RowFault::Overtaken) {
      m_overtaken();
    }
    if (aFault == RowFault::Down) {
      m_table.Faults().m_down = true;
      m_queue.After(kDown, [this] { m_table.Faults().m_down = false; });
    }
    return aFault == RowFault::Lost;
  }

  void Fetch(const table::Read& aRead,
             const std::function<void(const table::ReadResult&)>& aDone)
  {
    const RowFault fault = NextFault();
    if (fault == RowFault::NotApplied || Meet(fault)) {
      m_queue.After(kTimeout, [aDone] { aDone({}); });
      return;
    }
    m_table.Fetch(m_vm,
                  aRead,
                  kTimeout,
                  [this, fault, aDone](const table::ReadResult& aResult) {
                    const bool lost =
                      fault == RowFault::AnswerLost || fault == RowFault::Slow;
                    aDone(lost ? table::ReadResult() : aResult);
                  });
  }

  void Submit(const table::Commit& aCommit,
              const FaultyTable::CommitDone& aDone)
  {
    const RowFault fault = NextFault();
    if (fault == RowFault::NotApplied) {
      table::CommitResult result;
      result.m_state = table::CommitState::NotApplied;
      m_queue.After(milliseconds(1), [aDone, result] { aDone(result); });
      return;
    }
    if (Meet(fault)) {
      m_queue.After(kTimeout, [aDone] { aDone({}); });
      return;
    }
    if (fault == RowFault::Slow) {
      m_table.Faults().m_holdNextCommit = kTimeout + milliseconds(200);
    }
    m_table.Submit(m_vm,
                   aCommit,
                   kTimeout,
                   [fault, aDone](const table::CommitResult& aResult) {
                     const bool lost = fault == RowFault::AnswerLost;
                     aDone(lost ? table::CommitResult() : aResult);
                   });
  }

  void Carry(const table::GroupCommitEffects& aEffects)
  {
    if (aEffects.m_commit) {
      const auto operation = aEffects.m_commit->m_operation;
      Submit(aEffects.m_commit->m_commit,
             [this, operation](const table::CommitResult& aResult) {
               Carry(m_group.OnCommitResult(m_queue.Now(), operation, aResult));
             });
    }
    if (aEffects.m_read) {
      const auto operation = aEffects.m_read->m_operation;
      Fetch(aEffects.m_read->m_read,
            [this, operation](const table::ReadResult& aResult) {
              Carry(m_group.OnReadResult(m_queue.Now(), operation, aResult));
            });
    }
    for (const table::RecordResult& result : aEffects.m_results) {
      auto found = m_records.extract(result.m_record);
      found.mapped()(result);
    }
    Schedule();
  }

  EventQueue& m_queue;
  FaultyTable& m_table;
  VmId m_vm;
  table::GroupCommit m_group;
  std::map<table::RecordId, std::function<void(const table::RecordResult&)>>
    m_records;
  RowFault m_fault = RowFault::None;
  int m_faultAt = 0;
  int m_operations = 0;
  int m_malformed = 0;
  Duration m_clockOffset{};
  Time m_nextTick = Time::min();
  std::function<void()> m_overtaken;
};

} // namespace lacewing::fakes
