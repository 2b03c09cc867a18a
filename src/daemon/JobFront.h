/// The front's side of jobs: checks, durable acceptance, and queries that the
/// owner of the job's slice answers.
#pragma once

#include "caller/CallerRequest.h"
#include "daemon/CellState.h"
#include "daemon/JobMover.h"
#include "daemon/WorkerSliceOwner.h"
#include "net/HttpServer.h"

#include <deque>

namespace lacewing::daemon {

/// Finds the owner of a worker slice in this process, if it is here.
using LocalWorkerOwner =
  std::function<std::shared_ptr<WorkerSliceOwner>(const SliceId& aSlice)>;

/// What a caller asks of a job's owner.
enum class JobQuestion : std::uint8_t
{
  Status,
  Explain,
  Cancel,
  RunAgain, ///< run tasks again that may have run
  GiveUp,   ///< count tasks that may have run as failed
};

class JobFront
{
public:
  JobFront(CellState aCell, LocalWorkerOwner aLocalOwner);

  /// Both reply exactly once, or return an error and do not reply.
  Result<void> Submit(const net::HttpRequest& aRequest,
                      const net::HttpReply& aReply);
  Result<void> Ask(const net::HttpRequest& aRequest,
                   JobQuestion aQuestion,
                   const net::HttpReply& aReply);
  /// Submissions without a reply, and jobs that no owner has confirmed yet. The
  /// process must not end before.
  std::size_t Unfinished() const
  {
    return m_openSubmissions + m_unconfirmed.size() + m_openMoves;
  }
  /// Tells the owner of the new slice of a job that has moved.
  void AnnounceMoved(const MovedJob& aJob);
  /// A move has begun (1), or its outcome is known (-1).
  void CountMove(int aChange) { m_openMoves += aChange; }
  /// Tells owners of jobs that they do not know yet; to be called every second.
  void Tick();

  /// Messages of other fronts to an owner in this process.
  peer::PeerMessage OnSubmitJob(const peer::SubmitJob& aMessage);
  peer::PeerMessage OnQuestion(const std::string& aBody);

private:
  struct Submission
  {
    jobs::JobRecord m_record;
    std::string m_row; ///< row of the submission; empty without a key
    RowVersion m_rowVersion = 0;
    net::HttpReply m_reply;
  };

  /// A job whose owner has not confirmed that it knows it: one that was
  /// accepted here, or that has moved away from a slice of this process.
  struct Announcement
  {
    jobs::JobRecord m_record;
    RowVersion m_version = 0;
    SliceId m_slice;
    bool m_cancel = false; ///< the job is to be cancelled there
  };
  using AnnouncementKey = std::pair<JobId, SliceId>;

  /// A caller's question on its way along the slices of a job.
  struct Question
  {
    JobId m_job;
    TeamId m_team; ///< empty for an operator
    JobQuestion m_question = JobQuestion::Status;
    SliceId m_slice;
    std::uint32_t m_follows = 0; ///< slices that the job had left
  };

  Result<TeamId> TeamOf(const caller::CallerContext& aContext) const;
  Result<void> CheckLimit(const TeamId& aTeam,
                          const caller::JobSpec& aSpec) const;
  Result<SliceId> ChooseSlice(const caller::JobSpec& aSpec) const;
  void WriteSubmission(const std::shared_ptr<Submission>& aSubmission);
  void ReadSubmission(const std::shared_ptr<Submission>& aSubmission);
  void WriteJob(const std::shared_ptr<Submission>& aSubmission);
  /// Finds out whether the job's row exists already.
  void ReadJob(const std::shared_ptr<Submission>& aSubmission);
  void Accept(const Submission& aSubmission);
  void Announce(const Announcement& aAnnouncement);
  void Confirm(const AnnouncementKey& aKey, bool aCancelled);
  void SendQuestion(const Question& aQuestion, const net::HttpReply& aReply);
  /// Replies, or asks again where the job has moved to.
  void TakeAnswer(const Question& aQuestion,
                  const net::HttpResponse& aAnswer,
                  const net::HttpReply& aReply);
  net::HttpResponse Answer(const Question& aQuestion);
  net::HttpResponse AnswerMoved(const Question& aQuestion,
                                const jobs::JobRecord& aTombstone);

  CellState m_cell;
  LocalWorkerOwner m_localOwner;
  std::map<AnnouncementKey, Announcement> m_unconfirmed;
  std::size_t m_openSubmissions = 0;
  std::size_t m_openMoves = 0;
};

} // namespace lacewing::daemon

template<>
struct lacewing::EnumNames<lacewing::daemon::JobQuestion>
{
  using Question = lacewing::daemon::JobQuestion;
  static constexpr std::array kTable = {
    std::pair{ Question::Status, std::string_view("status") },
    std::pair{ Question::Explain, std::string_view("explain") },
    std::pair{ Question::Cancel, std::string_view("cancel") },
    std::pair{ Question::RunAgain, std::string_view("run_again") },
    std::pair{ Question::GiveUp, std::string_view("give_up") },
  };
};
