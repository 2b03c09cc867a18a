/// Behaviour of a worker without I/O: leases, epochs, tokens and tasks. Used by
/// the stand-in process and by tests under virtual time.
#pragma once

#include "InventoryLog.h"
#include "core/Time.h"
#include "worker/WorkerMessages.h"

#include <map>

namespace lacewing::standin {

struct WorkerOptions
{
  Resources m_capacity;
  Duration m_lease = seconds(20);
  /// Every task fails at once, as on a broken worker.
  bool m_failEverything = false;
  /// Random number of the process; 0 for a worker that does not know inventory
  /// deltas.
  std::uint64_t m_instance = 0;
  /// Switched off only by the mutation tests of the ownership protocol.
  bool m_checkEpoch = true;
  bool m_tokenRule = true;
};

class WorkerModel
{
public:
  explicit WorkerModel(WorkerOptions aOptions);

  worker::ControlReply Control(Time aNow,
                               const worker::ControlRequest& aRequest);
  /// Takes the measured size of a running task.
  void Measure(const TaskId& aTask, const Resources& aUsed);
  /// Ends tasks whose work is done, and all tasks once the lease is over.
  void Advance(Time aNow);

  std::size_t RunningCount() const { return m_tasks.size(); }
  /// Starts of each task, for the detection of duplicates.
  const std::map<TaskId, int>& Starts() const { return m_starts; }
  Resources Reserved() const;
  std::vector<worker::RunningTask> Running() const;
  /// When `Advance` next ends a task, unless a command changes that.
  Time NextChange() const;
  bool LeaseValid(Time aNow) const;

private:
  struct Task
  {
    worker::RunningTask m_running;
    Time m_end;
  };

  bool Accepts(Time aNow, const worker::ControlRequest& aRequest) const;
  void TakeEpochAndToken(Time aNow, const worker::ControlRequest& aRequest);
  void Carry(Time aNow, const worker::Command& aCommand);
  void Start(Time aNow, const worker::Command& aCommand);
  void End(Time aNow, const TaskId& aTask, worker::TaskOutcome aOutcome);
  worker::ControlReply Refusal() const;
  worker::ControlReply Reply(const worker::ControlRequest& aRequest);

  WorkerOptions m_options;
  Epoch m_epoch = 0;
  std::uint64_t m_token = 0;
  std::map<std::uint64_t, Time> m_issued; ///< time of issue of recent tokens
  Time m_leaseEnd{};
  std::map<TaskId, Task> m_tasks;
  std::vector<worker::EndedTask> m_ended;
  /// Ends within the last lease, for the refusal of repeated starts.
  std::map<std::pair<TaskId, std::uint32_t>, Time> m_recentEnds;
  std::uint64_t m_endedSequence = 0;
  std::map<TaskId, int> m_starts;
  InventoryLog m_inventory;
};

} // namespace lacewing::standin
