/// Serves callers: accepts jobs, cancels them and reports their state.
///
/// A job is accepted once its row is stored. The leader is then notified; if
/// the notification is lost, the leader finds the row in the store. A caller
/// receives the verdict `not_run` for a job only if its row cannot have been
/// written. While the leader cannot keep up, part of the new jobs is refused,
/// after a look for the row of an earlier attempt. A cancellation is confirmed
/// once its row is stored, also for a job that is not stored: that row keeps a
/// late write of the job from running it.
#pragma once

#include "edge/ConfigWatch.h"
#include "edge/JobFinder.h"
#include "edge/JobViewCache.h"
#include "edge/Leadership.h"
#include "net/HttpServer.h"

#include <map>

namespace lacewing::edge {

class CallerFront
{
public:
  CallerFront(const LeaderContext& aContext,
              ConfigWatch& aConfig,
              Leadership& aLeadership);

  void Handle(const net::HttpRequest& aRequest, const net::HttpReply& aReply);
  /// Stores a job or a cancellation that was forwarded by a daemon that cannot
  /// reach the store.
  void StoreForPeer(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);

private:
  /// A request of a caller in progress.
  struct Call
  {
    JobId m_job;
    pool::QueueId m_queue;
    TeamId m_team;
    bool m_public = false;
    Time m_received{};
    Time m_deadline{};
    std::string m_method;
    bool m_isForwarded = false; ///< by another daemon; not forwarded again
    /// An attempt to store its cancellation had no answer.
    bool m_mayBeStored = false;
    bool m_isUnknownJob = false; ///< it cancels a job that has no row
    net::HttpReply m_reply;
  };

  void Submit(const Call& aCall, const std::string& aBody);
  /// Refuses a job that the leader cannot take now, unless it is stored.
  void RefuseIfAbsent(const Call& aCall, const pool::Job& aJob);
  void Store(const Call& aCall,
             const pool::Job& aJob,
             pool::JobLocation aLocation,
             bool aInDoubt);
  /// Address of the leader's daemon, if the call can be forwarded to it.
  std::optional<net::Address> OtherLeader(const Call& aCall) const;
  /// Forwards a write that this daemon cannot perform to the leader's daemon.
  void ForwardToLeader(const Call& aCall,
                       const char* aPath,
                       std::string aBody,
                       const std::function<void(bool aInDoubt)>& aFailed);
  void RetryStore(const Call& aCall,
                  const pool::Job& aJob,
                  pool::JobLocation aLocation,
                  bool aInDoubt);
  /// Accepts a job whose row exists already, and refuses one that was cancelled
  /// before it was stored.
  void OnConflict(const Call& aCall,
                  const pool::Job& aJob,
                  pool::JobLocation aLocation,
                  const table::CommitResult& aResult);
  /// `aVersion` is that of the job's row; 0 if it is not known.
  void Accept(const Call& aCall, const pool::Job& aJob, RowVersion aVersion);
  void NotifyLeader(const std::string& aPath,
                    const JobId& aJob,
                    std::string aBody);
  void Cancel(const Call& aCall);
  void ForwardCancel(const Call& aCall);
  void StoreCancellation(const Call& aCall, pool::JobLocation aLocation);
  /// Retries after a delay, or refuses the call if too little time is left.
  void RetryOrRefuse(const Call& aCall,
                     void (CallerFront::*aRetry)(const Call&));
  void ShowState(const Call& aCall);
  void ShowStoredState(const Call& aCall);
  void ShowStoredProgress(const Call& aCall);
  void ShowWaiting(const Call& aCall);
  void ReplyState(const Call& aCall, pool::JobState aState);
  void Finish(const Call& aCall,
              int aStatus,
              std::string_view aOutcome,
              std::string aBody = "{}");
  void Refuse(const Call& aCall, int aStatus, std::string_view aReason);
  /// The final answer to a write: in doubt if an attempt had no answer.
  void RefuseWrite(const Call& aCall, bool aInDoubt);
  Duration TimeLeft(const Call& aCall) const;
  /// True if a further attempt after the retry delay can end in time.
  bool HasTimeToRetry(const Call& aCall) const;
  /// Since when this daemon has had no answers about jobs from the store.
  std::optional<Time> StoreDownSince() const;

  LeaderContext m_context;
  ConfigWatch& m_config;
  Leadership& m_leadership;
  JobViewCache m_views;
};

} // namespace lacewing::edge
