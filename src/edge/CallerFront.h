/// Answers callers: takes jobs, cancels them and tells their state.
///
/// A job is accepted once its row is stored; the leader is then told of it and
/// finds it in the store if the message is lost. A refusal is sent only if the
/// row cannot have been written.
#pragma once

#include "edge/ConfigWatch.h"
#include "edge/JobFinder.h"
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
  /// Stores a job or a cancellation for a daemon that cannot reach the store.
  void StoreForPeer(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);

private:
  /// One call of a caller.
  struct Call
  {
    JobId m_job;
    pool::QueueId m_queue;
    TeamId m_team;
    bool m_public = false;
    Time m_received{};
    Time m_deadline{};
    std::string m_method;
    bool m_forPeer = false; ///< sent by another daemon; not passed on again
    net::HttpReply m_reply;
  };

  void Submit(const Call& aCall, const std::string& aBody);
  void Store(const Call& aCall,
             const pool::Job& aJob,
             pool::JobLocation aLocation,
             bool aInDoubt);
  /// Lets the leader's daemon store what this one can't. False if there is no
  /// other daemon to ask.
  bool PassOn(const Call& aCall,
              const char* aPath,
              std::string aBody,
              const std::function<void(bool aInDoubt)>& aFailed);
  void StoreLater(const Call& aCall,
                  const pool::Job& aJob,
                  pool::JobLocation aLocation,
                  bool aInDoubt);
  void Accept(const Call& aCall, const pool::Job& aJob);
  void TellLeader(const char* aPath, const JobId& aJob, std::string aBody);
  void Cancel(const Call& aCall);
  void PassOnCancel(const Call& aCall);
  void StoreCancellation(const Call& aCall, pool::JobLocation aLocation);
  /// Tries again while the caller waits, and refuses then.
  void AskAgain(const Call& aCall, void (CallerFront::*aAgain)(const Call&));
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
  Duration TimeLeft(const Call& aCall) const;
  bool StoreLooksDown() const;

  LeaderContext m_context;
  ConfigWatch& m_config;
  Leadership& m_leadership;
};

} // namespace lacewing::edge
