/// Jobs of several steps that run on one pool of workers, as callers submit
/// them and as the entry daemons store them.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace lacewing::pool {

using QueueId = StringId<struct QueueIdTag>;
/// Id of a worker. A worker that restarts may keep its id and has a new
/// incarnation.
using WorkerId = StringId<struct WorkerIdTag>;

/// Number of a worker within one leadership, used as an index into tables of
/// all workers.
using WorkerSlot = std::uint32_t;

/// One step: tasks of equal size that may run at the same time.
struct StepSpec
{
  std::uint32_t m_tasks = 1;
  Resources m_each;      ///< needed by one task
  Duration m_estimate{}; ///< estimated run time of one task
  std::vector<std::uint32_t>
    m_after;               ///< steps that must be done before this one
  bool m_gang = false;     ///< its tasks run all at the same time or not at all
  bool m_sameRack = false; ///< slower on more than one rack
  bool m_checkpointing = false;
  std::string m_requiredLabel;      ///< that a worker must have; empty for none
  std::string m_preferredRack;      ///< faster on this rack; empty for none
  std::uint32_t m_maxPerWorker = 0; ///< tasks on one worker; 0 for no limit

  bool operator==(const StepSpec&) const = default;
};

struct Job
{
  JobId m_id; ///< chosen by the caller
  QueueId m_queue;
  TeamId m_team;         ///< empty on a public queue
  std::string m_payload; ///< passed to each task unchanged
  std::vector<StepSpec> m_steps;
  std::int64_t m_acceptedUnixMs = 0; ///< wall clock of the accepting daemon

  bool operator==(const Job&) const = default;
};

enum class JobState : std::uint8_t
{
  Pending,
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// True for a state that never changes again.
constexpr bool
IsFinal(JobState aState)
{
  return aState != JobState::Pending && aState != JobState::Running;
}

/// One task of one step of a job.
struct TaskRef
{
  JobId m_job;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/// Number of a task's start; increases across all leaders.
using RunNumber = std::uint64_t;

/// How a run of a task ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed, ///< its lease expired
  Broken, ///< another member of its gang ended
  Alone,  ///< the other members of its gang did not start
};

} // namespace lacewing::pool

template<>
struct lacewing::EnumNames<lacewing::pool::JobState>
{
  using State = lacewing::pool::JobState;
  static constexpr std::array kTable = {
    std::pair{ State::Pending, std::string_view("pending") },
    std::pair{ State::Running, std::string_view("running") },
    std::pair{ State::Completed, std::string_view("completed") },
    std::pair{ State::Failed, std::string_view("failed") },
    std::pair{ State::Cancelled, std::string_view("cancelled") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::pool::RunEnd>
{
  using End = lacewing::pool::RunEnd;
  static constexpr std::array kTable = {
    std::pair{ End::Done, std::string_view("done") },
    std::pair{ End::Failed, std::string_view("failed") },
    std::pair{ End::Stopped, std::string_view("stopped") },
    std::pair{ End::Lapsed, std::string_view("lapsed") },
    std::pair{ End::Broken, std::string_view("broken") },
    std::pair{ End::Alone, std::string_view("alone") },
  };
};
