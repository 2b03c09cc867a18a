/// Jobs, tasks and workers as the scheduler of a slice sees them.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::sched {

/// A rack of workers; racks of different failure domains have different ids.
using RackId = StringId<struct RackIdTag>;

enum class JobKind : std::uint8_t
{
  Batch,
  Service, ///< Runs until it is cancelled.
  Gang,    ///< Needs all its tasks at once.
  Urgent,
};

struct JobSpec
{
  JobId m_id;
  TeamId m_team;
  JobKind m_kind = JobKind::Batch;
  std::uint32_t m_tasks = 1;
  Resources m_perTask;       ///< declared
  std::string m_accelerator; ///< kind; only with accelerators in `m_perTask`
  std::int64_t m_runMs = 0;  ///< declared run time of a task; 0 if unknown
  /// Patient tasks may be throttled, checkpointed or stopped for other work.
  bool m_patient = false;
  bool m_checkpointable = false;
  /// Started at most once, after a durable mark; never stopped for other work.
  bool m_atMostOnce = false;
  std::optional<Time> m_deadline;
  std::vector<DomainId> m_domains; ///< allowed domains; empty: all
  std::vector<RackId> m_racks;     ///< allowed racks; empty: all
};

struct WorkerSpec
{
  VmId m_id;
  DomainId m_domain;
  RackId m_rack;
  Resources m_capacity;
  std::string m_accelerator; ///< kind of its accelerators
};

enum class TaskState : std::uint8_t
{
  Pending,
  Marking, ///< Has a place; the durable mark is being written.
  Marked,  ///< Has a place and a mark; starts with the next decision.
  Pledged, ///< Waits for room that is being cleared on its worker.
  Running,
  Succeeded,
  Failed,
  MayHaveRun, ///< At-most-once task whose outcome is unknown.
  Cancelled,
};

enum class JobState : std::uint8_t
{
  Queued,
  Running,
  Succeeded,
  Failed,
  MayHaveRun,
  Cancelled,
};

/// What the durable row of a job says about its tasks, for recovery.
struct RecoveredTasks
{
  std::vector<std::uint32_t> m_marked;    ///< indices with a `started` mark
  std::vector<std::uint32_t> m_succeeded; ///< indices that are done
  /// The job was cancelled, but its row is kept until its tasks have ended:
  /// they count for the team until then.
  bool m_cancelled = false;
};

} // namespace lacewing::sched

template<>
struct lacewing::EnumNames<lacewing::sched::JobKind>
{
  using Kind = lacewing::sched::JobKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::Batch, std::string_view("batch") },
    std::pair{ Kind::Service, std::string_view("service") },
    std::pair{ Kind::Gang, std::string_view("gang") },
    std::pair{ Kind::Urgent, std::string_view("urgent") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::sched::TaskState>
{
  using State = lacewing::sched::TaskState;
  static constexpr std::array kTable = {
    std::pair{ State::Pending, std::string_view("pending") },
    std::pair{ State::Marking, std::string_view("marking") },
    std::pair{ State::Marked, std::string_view("marked") },
    std::pair{ State::Pledged, std::string_view("pledged") },
    std::pair{ State::Running, std::string_view("running") },
    std::pair{ State::Succeeded, std::string_view("succeeded") },
    std::pair{ State::Failed, std::string_view("failed") },
    std::pair{ State::MayHaveRun, std::string_view("may_have_run") },
    std::pair{ State::Cancelled, std::string_view("cancelled") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::sched::JobState>
{
  using State = lacewing::sched::JobState;
  static constexpr std::array kTable = {
    std::pair{ State::Queued, std::string_view("queued") },
    std::pair{ State::Running, std::string_view("running") },
    std::pair{ State::Succeeded, std::string_view("succeeded") },
    std::pair{ State::Failed, std::string_view("failed") },
    std::pair{ State::MayHaveRun, std::string_view("may_have_run") },
    std::pair{ State::Cancelled, std::string_view("cancelled") },
  };
};
