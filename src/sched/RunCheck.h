/// Jobs that can never run, with the reason.
#pragma once

#include "core/EnumNames.h"
#include "sched/JobTypes.h"

namespace lacewing::sched {

enum class NeverReason : std::uint8_t
{
  NoTasks,
  BadSize, ///< a negative amount, or accelerators without a kind
  LargerThanEveryWorker,
  UnknownAccelerator,
  NoAllowedWorker, ///< no worker in the allowed domains and racks
  GangLargerThanSlice,
  AboveTeamLimit,
};

struct NeverRunnable
{
  NeverReason m_reason = NeverReason::NoTasks;
  std::string m_message; ///< names the value that is too large or unknown
};

/// Upper limit of a team; `kNoLimit` if it has none.
inline constexpr std::int64_t kNoLimit = -1;

/// The checks that need no workers.
std::optional<NeverRunnable>
CheckFormAndLimit(const JobSpec& aSpec, std::int64_t aLimitMillicores);

/// Why the job can never run on the given workers, or nothing. Linear in the
/// number of workers.
std::optional<NeverRunnable>
CheckRunnable(const JobSpec& aSpec,
              const std::vector<const WorkerSpec*>& aWorkers,
              std::int64_t aLimitMillicores);

} // namespace lacewing::sched

template<>
struct lacewing::EnumNames<lacewing::sched::NeverReason>
{
  using Reason = lacewing::sched::NeverReason;
  static constexpr std::array kTable = {
    std::pair{ Reason::NoTasks, std::string_view("no_tasks") },
    std::pair{ Reason::BadSize, std::string_view("bad_size") },
    std::pair{ Reason::LargerThanEveryWorker,
               std::string_view("larger_than_every_worker") },
    std::pair{ Reason::UnknownAccelerator,
               std::string_view("unknown_accelerator") },
    std::pair{ Reason::NoAllowedWorker, std::string_view("no_allowed_worker") },
    std::pair{ Reason::GangLargerThanSlice,
               std::string_view("gang_larger_than_slice") },
    std::pair{ Reason::AboveTeamLimit, std::string_view("above_team_limit") },
  };
};
