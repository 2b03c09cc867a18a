#include "cli/ExitCode.h"

namespace lacewing::cli {

ExitCode
ExitCodeOf(const Error& aError)
{
  switch (aError.m_code) {
    case ErrorCode::BadInput:
    case ErrorCode::TooLarge:
    case ErrorCode::NeverRunnable:
      return ExitCode::Usage;
    case ErrorCode::NotFound:
      return ExitCode::NotFound;
    case ErrorCode::Conflict:
      return ExitCode::Conflict;
    case ErrorCode::Unauthenticated:
    case ErrorCode::Forbidden:
      return ExitCode::Unauthenticated;
    default:
      break;
  }
  switch (aError.m_verdict) {
    case Verdict::NotRun:
      return ExitCode::NotRun;
    case Verdict::MayHaveRun:
      return ExitCode::MayHaveRun;
    case Verdict::Ran:
      return ExitCode::Failure;
  }
  return ExitCode::Failure;
}

} // namespace lacewing::cli
