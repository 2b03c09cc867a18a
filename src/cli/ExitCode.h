/// Exit codes of the operator client, so that scripts can tell what happened.
#pragma once

#include "core/Verdict.h"

namespace lacewing::cli {

enum class ExitCode : int
{
  Success = 0,
  Failure = 1,    ///< any other error
  Usage = 2,      ///< bad arguments or bad input; nothing was changed
  NotRun = 3,     ///< refused or unreachable; it has not run
  MayHaveRun = 4, ///< no answer; it may have run
  NotFound = 5,
  Conflict = 6,        ///< another operator changed it first
  Unauthenticated = 7, ///< key missing, unknown or of another team
};

/// The exit code that corresponds to an error.
ExitCode
ExitCodeOf(const Error& aError);

} // namespace lacewing::cli
