/// A caller's HTTP request as a typed value: checked headers, key, deadline and
/// class.
#pragma once

#include "core/Ids.h"
#include "core/RequestClass.h"
#include "core/Time.h"
#include "core/Verdict.h"
#include "net/HttpMessage.h"

#include <cstdint>
#include <string>

namespace lacewing::caller {

/// What every request of a caller carries in its headers.
struct CallerContext
{
  std::string m_key; ///< text of the team's key; empty for open queues
  std::string m_queue;
  std::string m_idempotencyKey;
  RequestClass m_class = RequestClass::Interactive;
  Duration m_deadline{}; ///< time that is left for the request
};

/// Deadline of a request without the header X-Deadline-Ms.
inline constexpr Duration kDefaultDeadline = seconds(10);
/// Largest deadline that a caller may set; bounds the time of a planned stop.
/// The settings may lower it but not raise it.
inline constexpr Duration kMaxDeadline = seconds(30);

struct DeadlineBounds
{
  Duration m_default = kDefaultDeadline;
  Duration m_max = kMaxDeadline;
};

inline constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

/// Errors: `BadInput` naming the header and its value; a malformed
/// Authorization header is `Unauthenticated`, without its text.
Result<CallerContext>
ParseContext(const net::HttpRequest& aRequest,
             const DeadlineBounds& aBounds = {});

} // namespace lacewing::caller
