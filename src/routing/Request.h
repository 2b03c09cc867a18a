/// Requests, answers and the switches of the safety mechanisms.
#pragma once

#include "core/Ids.h"
#include "core/RequestClass.h"
#include "core/Time.h"
#include "core/Verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lacewing::routing {

/// Largest deadline that a caller may ask for.
inline constexpr Duration kMaxDeadline = seconds(30);

/// A message that is under way arrives within this time or its connection is
/// dead. Counts read from an endpoint are trusted only after it.
inline constexpr Duration kMaxMessageDelay = seconds(2);

/// One forward of a request: unique over all fronts and their incarnations.
struct RequestId
{
  VmId m_front;
  Incarnation m_incarnation = 0;
  std::uint64_t m_number = 0;

  auto operator<=>(const RequestId&) const = default;
};

/// One dispatch to an endpoint: unique within an epoch of the slice.
using AttemptId = std::uint64_t;

/// A request at the owner of a service slice. The body stays with the caller of
/// the routing code.
struct Request
{
  RequestId m_id;
  TeamId m_team;
  RequestClass m_class = RequestClass::Interactive;
  Time m_deadline{}; ///< on the clock of this process
  bool m_idempotent = false;
};

/// What an endpoint answered.
struct EndpointAnswer
{
  int m_status = 0;
  std::string m_body;
  /// The Content-Length header; nothing when the answer has none.
  std::optional<std::size_t> m_contentLength;
  bool m_notRun = false; ///< status 503 with the header X-Not-Run: 1
  bool m_close = false;  ///< the header Connection: close

  /// False for an answer that is shorter or longer than it declares.
  bool IsWhole() const
  {
    return !m_contentLength || *m_contentLength == m_body.size();
  }
};

/// What GET /status of an endpoint returned.
struct EndpointStatus
{
  int m_slots = 0;
  int m_busy = 0;
  bool m_leaving = false;
};

/// Switches of the safety mechanisms. All are on in the product; a test turns
/// one off to show that its checker notices.
struct Safeguards
{
  bool m_insertBeforeForward = true;
  bool m_readBackUnknown = true;
  bool m_checkVersionOnDelete = true;
  bool m_matchAttempts = true;
  bool m_countSlots = true;
  bool m_drainFlights = true;
  bool m_noRetryAfterMayHaveRun = true;
};

} // namespace lacewing::routing

template<>
struct std::hash<lacewing::routing::RequestId>
{
  std::size_t operator()(const lacewing::routing::RequestId& aId) const noexcept
  {
    constexpr std::size_t kMix = 0x9E3779B97F4A7C15ULL;
    return std::hash<lacewing::VmId>()(aId.m_front) ^
           (aId.m_incarnation * kMix) ^ (aId.m_number * kMix * kMix);
  }
};
