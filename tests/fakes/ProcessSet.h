/// Life of the processes in a test: each runs, is paused or is dead, and has a
/// clock of its own rate.
#pragma once

#include "EventQueue.h"
#include "core/Ids.h"

#include <map>
#include <vector>

namespace lacewing::fakes {

class ProcessSet
{
public:
  explicit ProcessSet(EventQueue& aQueue)
    : m_queue(aQueue)
  {
  }

  /// Starts a process or a new incarnation of it. The local clock shows the
  /// offset now and advances at the rate relative to the queue's time.
  Incarnation Start(const VmId& aVm,
                    double aRate = 1.0,
                    Duration aOffset = Duration::zero())
  {
    Process& process = m_processes[aVm];
    ++process.m_incarnation;
    process.m_alive = true;
    process.m_paused = false;
    process.m_rate = aRate;
    process.m_started = m_queue.Now();
    process.m_offset = aOffset;
    process.m_deferred.clear();
    return process.m_incarnation;
  }

  void Kill(const VmId& aVm)
  {
    m_processes[aVm].m_alive = false;
    m_processes[aVm].m_deferred.clear();
  }

  void Pause(const VmId& aVm) { m_processes[aVm].m_paused = true; }

  /// Wakes the process; what arrived during the pause is delivered now.
  void Wake(const VmId& aVm)
  {
    m_processes[aVm].m_paused = false;
    auto deferred = std::move(m_processes[aVm].m_deferred);
    m_processes[aVm].m_deferred.clear();
    for (auto& function : deferred) {
      m_queue.After(Duration::zero(), std::move(function));
    }
  }

  bool IsAlive(const VmId& aVm) const
  {
    const auto found = m_processes.find(aVm);
    return found != m_processes.end() && found->second.m_alive;
  }

  bool IsPaused(const VmId& aVm) const
  {
    const auto found = m_processes.find(aVm);
    return found != m_processes.end() && found->second.m_paused;
  }

  /// Runs the function in the process now, after its pause, or never if that
  /// incarnation is dead by then.
  void Deliver(const VmId& aVm,
               Incarnation aIncarnation,
               std::function<void()> aFunction)
  {
    Process& process = m_processes[aVm];
    if (!process.m_alive || process.m_incarnation != aIncarnation) {
      return;
    }
    if (process.m_paused) {
      process.m_deferred.push_back(
        [this, aVm, aIncarnation, function = std::move(aFunction)] {
          Deliver(aVm, aIncarnation, function);
        });
      return;
    }
    aFunction();
  }

  Incarnation CurrentIncarnation(const VmId& aVm) const
  {
    const auto found = m_processes.find(aVm);
    return found == m_processes.end() ? 0 : found->second.m_incarnation;
  }

  /// Present time on the process's own clock.
  Time LocalNow(const VmId& aVm) const
  {
    const Process& process = m_processes.at(aVm);
    return Time() + process.m_offset +
           Scale(m_queue.Now() - process.m_started, process.m_rate);
  }

  /// The queue's time at which the process's clock shows the local time,
  /// rounded up.
  Time QueueTimeOf(const VmId& aVm, Time aLocal) const
  {
    const Process& process = m_processes.at(aVm);
    return process.m_started + microseconds(1) +
           Scale(aLocal - Time() - process.m_offset, 1 / process.m_rate);
  }

private:
  struct Process
  {
    Incarnation m_incarnation = 0;
    bool m_alive = false;
    bool m_paused = false;
    double m_rate = 1.0;
    Time m_started{};
    Duration m_offset{};
    std::vector<std::function<void()>> m_deferred;
  };

  EventQueue& m_queue;
  std::map<VmId, Process> m_processes;
};

} // namespace lacewing::fakes
