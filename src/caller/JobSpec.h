/// A job as callers submit it in JSON.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Verdict.h"

#include <cstdint>
#include <string>

namespace lacewing::caller {

enum class JobKind : std::uint8_t
{
  Batch,
  Service, ///< runs until it is cancelled
  Gang,    ///< needs all its tasks at once
};

struct JobSpec
{
  std::string m_name;
  JobKind m_kind = JobKind::Batch;
  bool m_urgent = false;
  bool m_patient = false;
  /// The job's tasks are started at most once; a lost one is not repeated.
  bool m_atMostOnce = false;
  std::uint32_t m_tasks = 1;
  Resources m_perTask{ 1000, 1024, 0 };
  std::int64_t m_runMs = 1000; ///< declared run time of a task
  RegionId m_region;           ///< preferred region; empty for any

  bool operator==(const JobSpec&) const = default;
};

inline constexpr std::uint32_t kMaxTasksPerJob = 10'000;

/// JSON text of a job, with all fields.
std::string
EncodeJobSpec(const JobSpec& aSpec);

/// Errors: `BadInput` naming the field, its value and what was expected.
/// Unknown fields are errors.
Result<JobSpec>
DecodeJobSpec(const std::string& aText);

} // namespace lacewing::caller

template<>
struct lacewing::EnumNames<lacewing::caller::JobKind>
{
  using Kind = lacewing::caller::JobKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::Batch, std::string_view("batch") },
    std::pair{ Kind::Service, std::string_view("service") },
    std::pair{ Kind::Gang, std::string_view("gang") },
  };
};
