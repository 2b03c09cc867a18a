/// Messages between the entry daemons of a pool: HTTP with JSON bodies on the
/// address for peers. All daemons of a cell run the same version.
#pragma once

#include "core/Verdict.h"
#include "edge/EdgeSettings.h"
#include "net/HttpClient.h"
#include "net/HttpMessage.h"
#include "pool/PoolScheduler.h"
#include "relay/RelayChoice.h"

#include <map>
#include <optional>
#include <string>

namespace lacewing::edge {

inline constexpr const char* kStatusPath = "/v1/pool/status";
/// Query of a status request: 1 to include the counts of waiting jobs.
inline constexpr const char* kCountsQuery = "counts";
/// Queries of a status request of a daemon that can be a relay: where it takes
/// orders, the processor of its VM in cores, and its failure domain.
inline constexpr const char* kRelayQuery = "relay";
inline constexpr const char* kCoresQuery = "cores";
inline constexpr const char* kDomainQuery = "domain";
inline constexpr const char* kJobsPath = "/v1/pool/jobs";
/// Query of a request for a job's state: how long, in milliseconds, the leader
/// may wait for the end of a job that may end soon.
inline constexpr const char* kWaitQuery = "wait_ms";
/// A job or a cancellation that the sender could not store itself.
inline constexpr const char* kStoreJobPath = "/v1/pool/stored_jobs";
inline constexpr const char* kStoreCancelPath = "/v1/pool/stored_cancellations";
inline constexpr const char* kCancelPath = "/v1/pool/cancellations";
inline constexpr const char* kAdvicePath = "/v1/pool/advice";
inline constexpr const char* kMetricsPath = "/metrics";

/// Status of a daemon, as reported to its peers.
struct LeaderStatus
{
  bool m_leads = false;
  std::uint64_t m_term = 0;
  std::uint64_t m_incarnation = 0; ///< of the responding process
  bool m_storeWorks = true;        ///< its row was renewed recently
  Duration m_loopLag{};            ///< how late its event loop is
  double m_admittedShare = 1;      ///< of the new jobs, if it leads
  /// Empty until the leader has loaded the jobs, and if not requested.
  std::optional<std::map<pool::QueueId, std::size_t>> m_waitingJobs;
  /// The leader known to the daemon, without the workers; the VM is empty if
  /// none is known.
  pool::LeaderRow m_leader;
};

/// A job's state as reported by the leader.
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
EncodeAdviceRequest(const pool::AdviceRequest& aRequest);
std::string
EncodePermissions(const std::vector<pool::Permission>& aPermissions);

/// All decoders fail with `BadInput`, which describes the fault in the body.
Result<LeaderStatus>
DecodeStatus(const std::string& aBody);
Result<JobView>
DecodeJobView(const std::string& aBody);
Result<pool::AdviceRequest>
DecodeAdviceRequest(const std::string& aBody);
Result<std::vector<pool::Permission>>
DecodePermissions(const std::string& aBody);

/// True if the response to a status request shows that its process does not
/// lead. A refused connection shows nothing, since a broken link may refuse it
/// too.
bool
ShowsNoLeader(const net::HttpOutcome& aOutcome);

/// Path of a request for a job's state.
std::string
JobStatePath(const JobId& aJob, Duration aLongestWait);

/// Path of the message that a job has been accepted. The version is that of the
/// row that the sender has written; 0 if the row was there before.
std::string
JobPath(const JobId& aJob, RowVersion aRowVersion);
inline constexpr const char* kRowVersionQuery = "row_version";

/// The part of a status request's path that offers the daemon as a relay; empty
/// if it can't be one.
std::string
RelayOffer(const EdgeSettings& aSettings);
/// The daemon that a status request offers as a relay, if it does.
std::optional<relay::RelayPeer>
OfferedRelay(const net::HttpRequest& aRequest);

/// Makes a request with a JSON body, or without a body if it is empty.
net::HttpRequest
MakeRequest(std::string aMethod, std::string aPath, std::string aBody = {});

} // namespace lacewing::edge
