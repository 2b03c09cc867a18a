/// Messages between the entry daemons of a pool: HTTP with JSON bodies on the
/// address for peers. All daemons of a cell run the same version.
#pragma once

#include "core/Verdict.h"
#include "net/HttpMessage.h"
#include "pool/PoolScheduler.h"

#include <map>
#include <optional>
#include <string>

namespace lacewing::edge {

inline constexpr const char* kStatusPath = "/v1/pool/status";
inline constexpr const char* kJobsPath = "/v1/pool/jobs";
/// A job or a cancellation that the sender could not store itself.
inline constexpr const char* kStoreJobPath = "/v1/pool/stored_jobs";
inline constexpr const char* kStoreCancelPath = "/v1/pool/stored_cancellations";
inline constexpr const char* kCancelPath = "/v1/pool/cancellations";
inline constexpr const char* kAdvicePath = "/v1/pool/advice";
inline constexpr const char* kMetricsPath = "/metrics";

/// What a daemon tells others about itself as the leader.
struct LeaderStatus
{
  bool m_leads = false;
  std::uint64_t m_term = 0;
  std::uint64_t m_incarnation = 0; ///< of the process that answers
  bool m_storeWorks = true;        ///< its row was renewed lately
  /// Nothing while the leader has not loaded the jobs yet.
  std::optional<std::map<pool::QueueId, std::size_t>> m_waitingJobs;
  /// Whom it takes for the leader, without the workers; no VM if nobody.
  pool::LeaderRow m_leader;
};

/// A job's state as the leader shows it.
struct JobView
{
  pool::JobState m_state = pool::JobState::Pending;
  TeamId m_team;
};

std::string
EncodeStatus(const LeaderStatus& aStatus);
std::string
EncodeJobView(const JobView& aView);
std::string
EncodeAdviceRequest(const pool::AdviceRequest& aQuestion);
std::string
EncodePermissions(const std::vector<pool::Permission>& aGood);

/// Errors of all decoders: `BadInput` with what is wrong in the body.
Result<LeaderStatus>
DecodeStatus(const std::string& aBody);
Result<JobView>
DecodeJobView(const std::string& aBody);
Result<pool::AdviceRequest>
DecodeAdviceRequest(const std::string& aBody);
Result<std::vector<pool::Permission>>
DecodePermissions(const std::string& aBody);

/// A request without a body, or with one in JSON.
net::HttpRequest
MakeRequest(std::string aMethod, std::string aPath, std::string aBody = {});

} // namespace lacewing::edge
