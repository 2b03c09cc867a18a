#include "daemon/JobFront.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing::daemon {

namespace {

using Json = nlohmann::json;
using observe::EventKind;

constexpr Duration kRecordDeadline = seconds(8);
constexpr Duration kOwnerTimeout = seconds(3);
constexpr int kOk = 200;
constexpr int kAccepted = 202;
/// Status of a `JobReply` whose body names the slice that the job moved to.
constexpr int kMoved = 307;

/// True if a worker of the slice can hold one task, and the slice a whole gang.
bool
CanHold(const vmlist::Slice& aSlice, const caller::JobSpec& aSpec)
{
  std::uint32_t room = 0;
  for (const vmlist::Vm& vm : aSlice.m_vms) {
    Resources left = vm.m_capacity;
    while (aSpec.m_perTask.FitsIn(left) && room < aSpec.m_tasks) {
      left -= aSpec.m_perTask;
      ++room;
    }
  }
  const bool isGang = aSpec.m_kind == caller::JobKind::Gang;
  return room >= (isGang ? aSpec.m_tasks : 1);
}

std::string
Describe(const caller::JobSpec& aSpec)
{
  const Resources& need = aSpec.m_perTask;
  return std::to_string(aSpec.m_tasks) + " tasks of " +
         std::to_string(need.m_millicores) + " millicores, " +
         std::to_string(need.m_memoryMib) + " MiB and " +
         std::to_string(need.m_accelerators) + " accelerators";
}

/// A text field; empty if it is missing or not a text. The library's own
/// function throws for a field of another type.
std::string
TextOf(const Json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

/// The slice that a message is for. Former versions named none; their jobs
/// stayed in the slice that accepted them.
SliceId
SliceIn(const Json& aBody, const JobId& aJob)
{
  const SliceId slice(TextOf(aBody, "slice"));
  return slice.empty() ? jobs::SliceOf(aJob) : slice;
}

Error
NotRecorded(table::CommitState aState)
{
  const bool unknown = aState == table::CommitState::Unknown;
  return { unknown ? Verdict::MayHaveRun : Verdict::NotRun,
           ErrorCode::StoreUnavailable,
           unknown ? "the job may have been accepted; repeat the submission "
                     "with the same idempotency key"
                   : "the job was not accepted: the table is unavailable" };
}

net::HttpResponse
NoOwner(const SliceId& aSlice)
{
  return net::ErrorResponse(
    { Verdict::NotRun,
      ErrorCode::Unavailable,
      "slice " + aSlice.Value() + " has no reachable owner at present" });
}

Json
StatusJson(const jobs::JobRecord& aRecord,
           const std::optional<sched::JobSummary>& aSummary)
{
  Json body = { { "job", aRecord.m_id.Value() },
                { "name", aRecord.m_spec.m_name },
                { "team", aRecord.m_team.Value() },
                { "tasks", aRecord.m_spec.m_tasks } };
  if (aRecord.m_ending != jobs::JobEnding::Open || !aSummary) {
    const bool open = aRecord.m_ending == jobs::JobEnding::Open;
    body["state"] = open ? "queued" : NameOf(aRecord.m_ending);
    body["succeeded"] = aRecord.m_succeeded.size();
    return body;
  }
  body["state"] = NameOf(aSummary->m_state);
  body["waiting"] = aSummary->m_pending;
  body["running"] = aSummary->m_running;
  body["succeeded"] = aSummary->m_succeeded;
  body["failed"] = aSummary->m_failed;
  body["may_have_run"] = aSummary->m_mayHaveRun;
  return body;
}

} // namespace

JobFront::JobFront(CellState aCell, LocalWorkerOwner aLocalOwner)
  : m_cell(aCell)
  , m_localOwner(std::move(aLocalOwner))
{
}

Result<TeamId>
JobFront::TeamOf(const caller::CallerContext& aContext) const
{
  return m_cell.m_settings.Authenticate(aContext.m_key, aContext.m_queue);
}

Result<void>
JobFront::Submit(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
{
  BOOST_LEAF_AUTO(context, caller::ParseContext(aRequest));
  BOOST_LEAF_AUTO(team, TeamOf(context));
  const auto submission = std::make_shared<Submission>();
  submission->m_record.m_team = team;
  BOOST_LEAF_ASSIGN(submission->m_record.m_spec,
                    caller::DecodeJobSpec(aRequest.m_body));
  BOOST_LEAF_CHECK(CheckLimit(team, submission->m_record.m_spec));
  BOOST_LEAF_AUTO(slice, ChooseSlice(submission->m_record.m_spec));
  submission->m_record.m_id = jobs::MakeJobId(slice, m_cell.m_runtime.Random());
  submission->m_record.m_nonce = submission->m_record.m_id.Value();
  ++m_openSubmissions;
  submission->m_reply = [this, aReply](const net::HttpResponse& aResponse) {
    --m_openSubmissions;
    aReply(aResponse);
  };
  if (context.m_idempotencyKey.empty()) {
    WriteJob(submission);
    return {};
  }
  submission->m_row = jobs::SubmissionRow(team, context.m_idempotencyKey);
  submission->m_record.m_submission = submission->m_row;
  WriteSubmission(submission);
  return {};
}

Result<void>
JobFront::CheckLimit(const TeamId& aTeam, const caller::JobSpec& aSpec) const
{
  const auto team = m_cell.m_settings.Tree().Team(aTeam);
  const bool isGang = aSpec.m_kind == caller::JobKind::Gang;
  const std::int64_t atOnce =
    aSpec.m_perTask.m_millicores * (isGang ? aSpec.m_tasks : 1);
  if (team && team->m_limitMillicores && atOnce > *team->m_limitMillicores) {
    return Fail(Verdict::NotRun,
                ErrorCode::NeverRunnable,
                "the job can never run: it needs " + std::to_string(atOnce) +
                  " millicores at once, and the upper limit of team '" +
                  aTeam.Value() + "' is " +
                  std::to_string(*team->m_limitMillicores));
  }
  return {};
}

Result<SliceId>
JobFront::ChooseSlice(const caller::JobSpec& aSpec) const
{
  const Time now = net::Loop::Now();
  SliceId best;
  double bestScore = 0.0;
  bool anyWorkers = false;
  for (const auto& [id, slice] : m_cell.m_slices) {
    if (slice.m_kind != vmlist::SliceKind::Workers) {
      continue;
    }
    anyWorkers = true;
    if (!CanHold(slice, aSpec)) {
      continue;
    }
    const VmId owner = m_cell.m_membership.Machine().OwnerOf(id);
    // A slice in the preferred region goes before all others.
    double score = m_cell.m_loads.FreeShare(
      now, owner, id, slice.Capacity().m_millicores, slice.m_vms.size());
    const RegionId& wanted = aSpec.m_region.empty()
                               ? m_cell.m_runtime.Config().m_region
                               : aSpec.m_region;
    constexpr double kRegionBonus = 1000.0;
    score += slice.m_region == wanted ? kRegionBonus : 0.0;
    // The row is durable, but an owner that does not answer starts it late.
    score -= m_cell.m_membership.IsSuspect(owner) ? 2 * kRegionBonus : 0.0;
    if (best.empty() || score > bestScore) {
      best = id;
      bestScore = score;
    }
  }
  if (!anyWorkers) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "no workers are known at present");
  }
  if (best.empty()) {
    return Fail(Verdict::NotRun,
                ErrorCode::NeverRunnable,
                "the job can never run: " + Describe(aSpec) +
                  " fit in no slice of the fleet");
  }
  m_cell.m_loads.OnJobSent(
    now, best, aSpec.m_perTask.m_millicores * aSpec.m_tasks);
  return best;
}

void
JobFront::WriteSubmission(const std::shared_ptr<Submission>& aSubmission)
{
  table::RecordWrite write;
  write.m_key = aSubmission->m_row;
  write.m_expected = 0;
  write.m_value = jobs::EncodeSubmission(aSubmission->m_record, WallMicros());
  write.m_deadline = net::Loop::Now() + kRecordDeadline;
  m_cell.m_runtime.Table().WriteRecord(
    std::move(write), [this, aSubmission](const table::RecordResult& aResult) {
      switch (aResult.m_state) {
        case table::CommitState::Committed:
          aSubmission->m_rowVersion = aResult.m_version;
          WriteJob(aSubmission);
          return;
        case table::CommitState::Conflict:
          ReadSubmission(aSubmission);
          return;
        default:
          aSubmission->m_reply(
            net::ErrorResponse(NotRecorded(aResult.m_state)));
      }
    });
}

void
JobFront::ReadSubmission(const std::shared_ptr<Submission>& aSubmission)
{
  table::Read read;
  read.m_keys.push_back(aSubmission->m_row);
  m_cell.m_runtime.Table().Fetch(
    "records", read, [this, aSubmission](const table::ReadResult& aResult) {
      const auto row = aResult.m_rows.find(aSubmission->m_row);
      if (row == aResult.m_rows.end()) {
        aSubmission->m_reply(
          net::ErrorResponse(NotRecorded(table::CommitState::Unknown)));
        return;
      }
      leaf::try_handle_all(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(first, jobs::DecodeSubmission(row->second.m_value));
          if (first.m_spec != aSubmission->m_record.m_spec) {
            return Fail(Verdict::NotRun,
                        ErrorCode::Conflict,
                        "the idempotency key was used for another job, '" +
                          first.m_id.Value() + "'");
          }
          aSubmission->m_record = first;
          aSubmission->m_record.m_submission = aSubmission->m_row;
          aSubmission->m_rowVersion = row->second.m_version;
          // The first front may have died before it wrote the job's row.
          WriteJob(aSubmission);
          return {};
        },
        [&](const Error& aError) {
          aSubmission->m_reply(net::ErrorResponse(aError));
        },
        [&] { aSubmission->m_reply(net::ErrorResponse({})); });
    });
}

void
JobFront::WriteJob(const std::shared_ptr<Submission>& aSubmission)
{
  table::RecordWrite write;
  write.m_key = jobs::JobRow(aSubmission->m_record.m_id);
  write.m_expected = 0;
  write.m_value = jobs::EncodeRecord(aSubmission->m_record);
  write.m_deadline = net::Loop::Now() + kRecordDeadline;
  if (!aSubmission->m_row.empty()) {
    // Both rows of a job that has ended are deleted, the submission's first. A
    // repeat that had read it before must not write the job anew.
    write.m_also.push_back({ aSubmission->m_row, aSubmission->m_rowVersion });
  }
  m_cell.m_runtime.Table().WriteRecord(
    std::move(write), [this, aSubmission](const table::RecordResult& aResult) {
      if (aResult.m_state == table::CommitState::Committed) {
        const Announcement announcement{ aSubmission->m_record,
                                         aResult.m_version,
                                         jobs::SliceOf(
                                           aSubmission->m_record.m_id) };
        m_unconfirmed[{ announcement.m_record.m_id, announcement.m_slice }] =
          announcement;
        Accept(*aSubmission);
        Announce(announcement);
        return;
      }
      if (aResult.m_state == table::CommitState::Conflict) {
        ReadJob(aSubmission);
        return;
      }
      aSubmission->m_reply(net::ErrorResponse(NotRecorded(aResult.m_state)));
    });
}

void
JobFront::ReadJob(const std::shared_ptr<Submission>& aSubmission)
{
  const std::string key = jobs::JobRow(aSubmission->m_record.m_id);
  table::Read read;
  read.m_keys.push_back(key);
  m_cell.m_runtime.Table().Fetch(
    "records",
    read,
    [this, key, aSubmission](const table::ReadResult& aResult) {
      if (aResult.m_rows.contains(key)) {
        // The submission is a repeat of an accepted one.
        Accept(*aSubmission);
        return;
      }
      aSubmission->m_reply(
        net::ErrorResponse(NotRecorded(table::CommitState::Unknown)));
    });
}

void
JobFront::Accept(const Submission& aSubmission)
{
  observe::Event event;
  event.m_kind = EventKind::JobAccepted;
  event.m_job = aSubmission.m_record.m_id;
  event.m_team = aSubmission.m_record.m_team;
  m_cell.m_runtime.Record(event);
  const Json body = { { "job", aSubmission.m_record.m_id.Value() } };
  aSubmission.m_reply(net::JsonResponse(kAccepted, body.dump()));
}

void
JobFront::AnnounceMoved(const MovedJob& aJob)
{
  const JobId& job = aJob.m_record.m_id;
  observe::Event event;
  event.m_kind = EventKind::JobMoved;
  event.m_job = job;
  event.m_team = aJob.m_record.m_team;
  event.m_detail =
    aJob.m_record.m_movedFrom.back().Value() + " to " + aJob.m_to.Value();
  m_cell.m_runtime.Record(event);
  m_cell.m_runtime.Metrics().Add(observe::Metric::JobMoves, { "moved" });
  const Announcement announcement{
    aJob.m_record, aJob.m_version, aJob.m_to, aJob.m_cancel
  };
  m_unconfirmed[{ job, aJob.m_to }] = announcement;
  Announce(announcement);
}

void
JobFront::Tick()
{
  for (const auto& [key, announcement] : m_unconfirmed) {
    m_cell.m_runtime.Loop().After(Duration::zero(), [this, key = key] {
      const auto found = m_unconfirmed.find(key);
      if (found != m_unconfirmed.end()) {
        const Announcement current = found->second;
        Announce(current);
      }
    });
  }
}

void
JobFront::Announce(const Announcement& aAnnouncement)
{
  const AnnouncementKey key{ aAnnouncement.m_record.m_id,
                             aAnnouncement.m_slice };
  const auto owner = m_cell.OwnerOf(key.second);
  if (!owner) {
    return;
  }
  const Json body = { { "job", key.first.Value() },
                      { "slice", key.second.Value() },
                      { "record", jobs::EncodeRecord(aAnnouncement.m_record) },
                      { "version", aAnnouncement.m_version },
                      { "cancel", aAnnouncement.m_cancel } };
  const peer::SubmitJob message{ body.dump() };
  const auto confirm = [this, key, cancelled = aAnnouncement.m_cancel](
                         const peer::PeerMessage& aReply) {
    const auto* reply = std::get_if<peer::JobReply>(&aReply);
    if (reply != nullptr && reply->m_status == kOk) {
      Confirm(key, cancelled);
    }
  };
  if (owner->m_vm == m_cell.m_runtime.Self()) {
    confirm(OnSubmitJob(message));
    return;
  }
  m_cell.m_membership.Call(*owner,
                           message,
                           kOwnerTimeout,
                           [confirm](const peer::PeerOutcome& aOutcome) {
                             if (aOutcome.m_reply) {
                               confirm(*aOutcome.m_reply);
                             }
                           });
}

void
JobFront::Confirm(const AnnouncementKey& aKey, bool aCancelled)
{
  const auto found = m_unconfirmed.find(aKey);
  // A cancellation that came after the confirmed message is yet to be told.
  if (found != m_unconfirmed.end() && found->second.m_cancel == aCancelled) {
    m_unconfirmed.erase(found);
  }
}

peer::PeerMessage
JobFront::OnSubmitJob(const peer::SubmitJob& aMessage)
{
  const Json body = Json::parse(aMessage.m_body, nullptr, false);
  if (!body.is_object()) {
    return peer::Refusal{
      { Verdict::NotRun, ErrorCode::BadInput, "the submitted job is not JSON" }
    };
  }
  const JobId job(TextOf(body, "job"));
  const SliceId slice = SliceIn(body, job);
  const auto owner = m_localOwner(slice);
  if (!owner) {
    return peer::Refusal{ { Verdict::NotRun,
                            ErrorCode::NotOwner,
                            "slice " + slice.Value() + " of job " +
                              job.Value() + " is not owned here" } };
  }
  if (!owner->HasLoaded()) {
    // The row may hold marks of a former owner, which the message lacks.
    return peer::Refusal{ { Verdict::NotRun,
                            ErrorCode::Unavailable,
                            "the owner is still reading its jobs" } };
  }
  return leaf::try_handle_all(
    [&]() -> Result<peer::PeerMessage> {
      BOOST_LEAF_AUTO(record, jobs::DecodeRecord(job, TextOf(body, "record")));
      const auto version = body.find("version");
      if (version == body.end() || !version->is_number_unsigned()) {
        return Fail(Verdict::NotRun,
                    ErrorCode::BadInput,
                    "the version of job " + job.Value() +
                      "'s row is missing or no whole number");
      }
      owner->Submit(record, version->get<RowVersion>());
      const auto cancel = body.find("cancel");
      if (cancel != body.end() && *cancel == Json(true)) {
        owner->Cancel(job);
      }
      return peer::PeerMessage(peer::JobReply{ kOk, "{}" });
    },
    [](const Error& aError) {
      return peer::PeerMessage(peer::Refusal{ aError });
    },
    [] { return peer::PeerMessage(peer::Refusal{ {} }); });
}

Result<void>
JobFront::Ask(const net::HttpRequest& aRequest,
              JobQuestion aQuestion,
              const net::HttpReply& aReply)
{
  BOOST_LEAF_AUTO(context, caller::ParseContext(aRequest));
  TeamId team;
  // Operators may ask about the jobs of all teams, which an empty team means.
  if (!settings::IsAdminKey(m_cell.m_runtime.Config().m_adminKeyDigest,
                            context.m_key)) {
    BOOST_LEAF_ASSIGN(team, TeamOf(context));
  }
  const JobId job(aRequest.PathParts()[2]);
  const SliceId slice = jobs::SliceOf(job);
  if (!m_cell.m_slices.contains(slice)) {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "there is no job '" + job.Value() + "'");
  }
  SendQuestion({ job, team, aQuestion, slice }, aReply);
  return {};
}

void
JobFront::SendQuestion(const Question& aQuestion, const net::HttpReply& aReply)
{
  const auto owner = m_cell.OwnerOf(aQuestion.m_slice);
  if (!owner) {
    aReply(NoOwner(aQuestion.m_slice));
    return;
  }
  if (owner->m_vm == m_cell.m_runtime.Self()) {
    TakeAnswer(aQuestion, Answer(aQuestion), aReply);
    return;
  }
  const Json body = { { "job", aQuestion.m_job.Value() },
                      { "team", aQuestion.m_team.Value() },
                      { "question", NameOf(aQuestion.m_question) },
                      { "slice", aQuestion.m_slice.Value() },
                      { "follows", aQuestion.m_follows } };
  m_cell.m_membership.Call(
    *owner,
    peer::QueryJob{ body.dump() },
    kOwnerTimeout,
    [this, aQuestion, aReply](const peer::PeerOutcome& aOutcome) {
      const auto* reply = aOutcome.m_reply
                            ? std::get_if<peer::JobReply>(&*aOutcome.m_reply)
                            : nullptr;
      if (reply == nullptr) {
        aReply(net::ErrorResponse(aOutcome.m_error));
        return;
      }
      TakeAnswer(
        aQuestion, net::JsonResponse(reply->m_status, reply->m_body), aReply);
    });
}

void
JobFront::TakeAnswer(const Question& aQuestion,
                     const net::HttpResponse& aAnswer,
                     const net::HttpReply& aReply)
{
  if (aAnswer.m_status != kMoved) {
    aReply(aAnswer);
    return;
  }
  const Json body = Json::parse(aAnswer.m_body, nullptr, false);
  Question next = aQuestion;
  next.m_slice = SliceId(TextOf(body, "moved_to"));
  if (++next.m_follows > sched::kMaxMoves || next.m_slice.empty()) {
    aReply(
      net::ErrorResponse({ Verdict::NotRun,
                           ErrorCode::Unavailable,
                           "the present slice of job '" +
                             aQuestion.m_job.Value() + "' was not found" }));
    return;
  }
  SendQuestion(next, aReply);
}

peer::PeerMessage
JobFront::OnQuestion(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  const auto kind = ParseName<JobQuestion>(TextOf(body, "question"));
  if (!kind) {
    return peer::Refusal{ { Verdict::NotRun,
                            ErrorCode::BadInput,
                            "the question about a job is malformed" } };
  }
  Question question;
  question.m_job = JobId(TextOf(body, "job"));
  question.m_team = TeamId(TextOf(body, "team"));
  question.m_question = *kind;
  question.m_slice = SliceIn(body, question.m_job);
  const auto follows = body.find("follows");
  question.m_follows = follows != body.end() && *follows != Json(0) ? 1 : 0;
  const auto response = Answer(question);
  return peer::JobReply{ response.m_status, response.m_body };
}

net::HttpResponse
JobFront::Answer(const Question& aQuestion)
{
  const JobId& aJob = aQuestion.m_job;
  const auto owner = m_localOwner(aQuestion.m_slice);
  if (!owner) {
    return NoOwner(aQuestion.m_slice);
  }
  const jobs::JobRecord* record = owner->Find(aJob);
  if (record == nullptr) {
    // The owner of a slice to which the job has moved is told of it later.
    const bool mayAppear = !owner->IsOpen() || aQuestion.m_follows > 0;
    return net::ErrorResponse(
      { Verdict::NotRun,
        mayAppear ? ErrorCode::Unavailable : ErrorCode::NotFound,
        mayAppear ? "the owner does not know job '" + aJob.Value() + "' yet"
                  : "there is no job '" + aJob.Value() + "'" });
  }
  if (!aQuestion.m_team.empty() && record->m_team != aQuestion.m_team) {
    return net::ErrorResponse(
      { Verdict::NotRun,
        ErrorCode::Forbidden,
        "job '" + aJob.Value() + "' belongs to another team" });
  }
  if (record->m_ending == jobs::JobEnding::Moved) {
    return AnswerMoved(aQuestion, *record);
  }
  switch (aQuestion.m_question) {
    case JobQuestion::Status:
      break;
    case JobQuestion::Explain: {
      const auto explanation = owner->ExplanationOf(aJob);
      const Json body = {
        { "job", aJob.Value() },
        { "state", explanation ? NameOf(explanation->m_state) : "ended" },
        { "message",
          explanation ? explanation->m_message : "the job has ended" }
      };
      return net::JsonResponse(kOk, body.dump());
    }
    case JobQuestion::Cancel:
      owner->Cancel(aJob);
      break;
    case JobQuestion::RunAgain:
    case JobQuestion::GiveUp:
      owner->Resolve(aJob, aQuestion.m_question == JobQuestion::RunAgain);
      break;
  }
  return net::JsonResponse(kOk,
                           StatusJson(*record, owner->StatusOf(aJob)).dump());
}

net::HttpResponse
JobFront::AnswerMoved(const Question& aQuestion,
                      const jobs::JobRecord& aTombstone)
{
  const auto announced =
    m_unconfirmed.find({ aTombstone.m_id, aTombstone.m_movedTo });
  if (announced == m_unconfirmed.end()) {
    const Json body = { { "moved_to", aTombstone.m_movedTo.Value() } };
    return net::JsonResponse(kMoved, body.dump());
  }
  // The owner of the new slice may not know the job yet.
  Announcement& announcement = announced->second;
  if (aQuestion.m_question == JobQuestion::Explain) {
    const Json body = {
      { "job", aTombstone.m_id.Value() },
      { "state", NameOf(sched::JobState::Queued) },
      { "message", "the job moves to slice " + aTombstone.m_movedTo.Value() }
    };
    return net::JsonResponse(kOk, body.dump());
  }
  if (aQuestion.m_question == JobQuestion::Cancel) {
    announcement.m_cancel = true;
  }
  return net::JsonResponse(
    kOk, StatusJson(announcement.m_record, std::nullopt).dump());
}

} // namespace lacewing::daemon
