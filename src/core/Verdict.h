/// What is known about a request that did not end with an answer: whether it
/// ran, and why there is no answer. Carried unchanged through every layer.
#pragma once

#include "core/EnumNames.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>

namespace lacewing {

/// Whether a request may have had an effect.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< No endpoint or worker can have received it.
  MayHaveRun, ///< It may have been received; the outcome is unknown.
  Ran,        ///< It ran; the answer may or may not be available.
};

template<>
struct EnumNames<Verdict>
{
  static constexpr std::array kTable = {
    std::pair{ Verdict::NotRun, std::string_view("not_run") },
    std::pair{ Verdict::MayHaveRun, std::string_view("may_have_run") },
    std::pair{ Verdict::Ran, std::string_view("ran") },
  };
};

/// Why a request got no answer.
enum class ErrorCode : std::uint8_t
{
  BadInput,
  Unauthenticated,
  Forbidden,
  NotFound,
  Conflict,
  TooLarge,
  QueueFull,
  LimitReached,
  DeadlineExceeded,
  Unavailable,
  Draining,
  NotOwner,
  StoreUnavailable,
  StaleSettings,
  EndpointFailed,
  NeverRunnable,
  Cancelled,
  Internal,
};

template<>
struct EnumNames<ErrorCode>
{
  static constexpr std::array kTable = {
    std::pair{ ErrorCode::BadInput, std::string_view("bad_input") },
    std::pair{ ErrorCode::Unauthenticated,
               std::string_view("unauthenticated") },
    std::pair{ ErrorCode::Forbidden, std::string_view("forbidden") },
    std::pair{ ErrorCode::NotFound, std::string_view("not_found") },
    std::pair{ ErrorCode::Conflict, std::string_view("conflict") },
    std::pair{ ErrorCode::TooLarge, std::string_view("too_large") },
    std::pair{ ErrorCode::QueueFull, std::string_view("queue_full") },
    std::pair{ ErrorCode::LimitReached, std::string_view("limit_reached") },
    std::pair{ ErrorCode::DeadlineExceeded,
               std::string_view("deadline_exceeded") },
    std::pair{ ErrorCode::Unavailable, std::string_view("unavailable") },
    std::pair{ ErrorCode::Draining, std::string_view("draining") },
    std::pair{ ErrorCode::NotOwner, std::string_view("not_owner") },
    std::pair{ ErrorCode::StoreUnavailable,
               std::string_view("store_unavailable") },
    std::pair{ ErrorCode::StaleSettings, std::string_view("stale_settings") },
    std::pair{ ErrorCode::EndpointFailed, std::string_view("endpoint_failed") },
    std::pair{ ErrorCode::NeverRunnable, std::string_view("never_runnable") },
    std::pair{ ErrorCode::Cancelled, std::string_view("cancelled") },
    std::pair{ ErrorCode::Internal, std::string_view("internal") },
  };
};

/// The error type of every layer. `m_message` is for people and names the value
/// that was wrong; it never contains a key.
struct Error
{
  Verdict m_verdict = Verdict::NotRun;
  ErrorCode m_code = ErrorCode::Internal;
  std::string m_message;
};

namespace leaf = boost::leaf;

/// A value or an `Error`.
template<typename T>
using Result = leaf::result<T>;

/// Builds a failed result.
inline leaf::error_id
Fail(Verdict aVerdict, ErrorCode aCode, std::string aMessage)
{
  return leaf::new_error(Error{ aVerdict, aCode, std::move(aMessage) });
}

/// Status code of HTTP that corresponds to an error.
int
HttpStatusOf(ErrorCode aCode);

} // namespace lacewing
