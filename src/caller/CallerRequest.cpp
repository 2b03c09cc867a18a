#include "caller/CallerRequest.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lacewing::caller {

namespace {

constexpr std::string_view kBearer = "Bearer ";

Result<std::string>
ParseKey(const std::string& aHeader)
{
  if (aHeader.empty()) {
    return std::string();
  }
  if (!aHeader.starts_with(kBearer)) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unauthenticated,
                "the Authorization header is not of the form 'Bearer KEY'");
  }
  return aHeader.substr(kBearer.size());
}

Result<Duration>
ParseDeadline(const std::string& aHeader, const DeadlineBounds& aBounds)
{
  if (aHeader.empty()) {
    return std::min(aBounds.m_default, aBounds.m_max);
  }
  std::int64_t value = 0;
  const char* end = aHeader.data() + aHeader.size();
  const auto parsed = std::from_chars(aHeader.data(), end, value);
  const Duration deadline = milliseconds(
    std::clamp<std::int64_t>(value, 0, ToMilliseconds(aBounds.m_max) + 1));
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      deadline <= Duration::zero() || deadline > aBounds.m_max) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "X-Deadline-Ms is '" + aHeader +
                  "'; expected a number of milliseconds from 1 to " +
                  std::to_string(ToMilliseconds(aBounds.m_max)));
  }
  return deadline;
}

Result<RequestClass>
ParseClass(const std::string& aHeader)
{
  if (aHeader.empty()) {
    return RequestClass::Interactive;
  }
  if (const auto value = ParseName<RequestClass>(aHeader)) {
    return *value;
  }
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              "X-Request-Class is '" + aHeader +
                "'; expected urgent, interactive or patient");
}

Result<std::string>
ParseIdempotencyKey(const std::string& aHeader)
{
  const auto allowed = [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_' ||
           aLetter == '.' || aLetter == ':';
  };
  if (aHeader.size() > kMaxIdempotencyKeyBytes ||
      !std::all_of(aHeader.begin(), aHeader.end(), allowed)) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "Idempotency-Key is '" + aHeader +
                  "'; expected at most 128 letters, digits, '-', '_', '.' "
                  "or ':'");
  }
  return aHeader;
}

} // namespace

Result<CallerContext>
ParseContext(const net::HttpRequest& aRequest, const DeadlineBounds& aBounds)
{
  CallerContext context;
  BOOST_LEAF_ASSIGN(context.m_key, ParseKey(aRequest.Header("Authorization")));
  BOOST_LEAF_ASSIGN(context.m_deadline,
                    ParseDeadline(aRequest.Header("X-Deadline-Ms"), aBounds));
  BOOST_LEAF_ASSIGN(context.m_class,
                    ParseClass(aRequest.Header("X-Request-Class")));
  BOOST_LEAF_ASSIGN(context.m_idempotencyKey,
                    ParseIdempotencyKey(aRequest.Header("Idempotency-Key")));
  context.m_queue = aRequest.Header("X-Queue");
  return context;
}

} // namespace lacewing::caller
