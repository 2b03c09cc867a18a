#include "core/Verdict.h"

namespace lacewing {

int
HttpStatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadInput:
    case ErrorCode::NeverRunnable:
      return 400;
    case ErrorCode::Unauthenticated:
      return 401;
    case ErrorCode::Forbidden:
      return 403;
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Cancelled:
      return 409;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::QueueFull:
    case ErrorCode::LimitReached:
      return 429;
    case ErrorCode::DeadlineExceeded:
      return 504;
    case ErrorCode::EndpointFailed:
      return 502;
    case ErrorCode::Unavailable:
    case ErrorCode::Draining:
    case ErrorCode::NotOwner:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::StaleSettings:
      return 503;
    case ErrorCode::Internal:
      return 500;
  }
  return 500;
}

} // namespace lacewing
