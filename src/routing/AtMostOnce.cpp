#include "routing/AtMostOnce.h"

#include "core/JsonFields.h"

#include <algorithm>

namespace lacewing::routing {

namespace {

/// JSON strings hold Unicode text and bodies are any bytes, so each byte is
/// stored as the code point of the same number.
std::string
ToLatin1Json(const std::string& aBytes)
{
  std::string text;
  text.reserve(aBytes.size());
  for (const char letter : aBytes) {
    const auto byte = static_cast<unsigned char>(letter);
    if (byte < 0x80) {
      text.push_back(letter);
      continue;
    }
    text.push_back(static_cast<char>(0xC0 | (byte >> 6)));
    text.push_back(static_cast<char>(0x80 | (byte & 0x3F)));
  }
  return text;
}

std::string
FromLatin1Json(const std::string& aText)
{
  std::string bytes;
  bytes.reserve(aText.size());
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const auto byte = static_cast<unsigned char>(aText[index]);
    if (byte < 0x80 || index + 1 == aText.size()) {
      bytes.push_back(aText[index]);
      continue;
    }
    const auto next = static_cast<unsigned char>(aText[++index]);
    bytes.push_back(static_cast<char>((byte << 6) | (next & 0x3F)));
  }
  return bytes;
}

} // namespace

std::string
EncodeRecord(const RequestRecord& aRecord)
{
  nlohmann::json record = { { "nonce", aRecord.m_nonce },
                            { "state",
                              aRecord.m_answer ? "answered" : "started" } };
  if (aRecord.m_writtenMicros > 0) {
    record["written_us"] = aRecord.m_writtenMicros;
  }
  if (aRecord.m_answer) {
    record["status"] = aRecord.m_answer->m_status;
    record["body"] = ToLatin1Json(aRecord.m_answer->m_body);
  }
  return record.dump();
}

Result<RequestRecord>
DecodeRecord(const std::string& aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("nonce") ||
      !json["nonce"].is_string()) {
    return Fail(Verdict::MayHaveRun,
                ErrorCode::Internal,
                "record of a request has no nonce");
  }
  RequestRecord record;
  record.m_nonce = json["nonce"].get<std::string>();
  if (json.contains("written_us")) {
    try {
      record.m_writtenMicros =
        NumberField<std::int64_t>(json, "written_us", std::int64_t{ 0 });
    } catch (const nlohmann::json::exception& error) {
      return Fail(Verdict::MayHaveRun,
                  ErrorCode::Internal,
                  std::string("record of a request: ") + error.what());
    }
  }
  if (json.value("state", "") != "answered") {
    return record;
  }
  if (!json.contains("status") || !json["status"].is_number_integer() ||
      !json.contains("body") || !json["body"].is_string()) {
    return Fail(Verdict::MayHaveRun,
                ErrorCode::Internal,
                "record of an answered request has no status or body");
  }
  EndpointAnswer answer;
  answer.m_status = json["status"].get<int>();
  answer.m_body = FromLatin1Json(json["body"].get<std::string>());
  record.m_answer = std::move(answer);
  return record;
}

std::string
RecordRow(const TeamId& aTeam, const std::string& aIdempotencyKey)
{
  return "request/" + aTeam.Value() + "/" + aIdempotencyKey;
}

AtMostOnce::AtMostOnce(std::string aNoncePrefix, OnceOptions aOptions)
  : m_noncePrefix(std::move(aNoncePrefix))
  , m_options(aOptions)
{
}

// ---- Effects ----

WriteRecord
AtMostOnce::Insert(CallId aId, Call& aCall)
{
  aCall.m_state = State::Inserting;
  aCall.m_busy = true;
  SetWakeup(aId, aCall, aCall.m_deadline);
  return { Step::FrontWriteInsert,
           aId,
           aCall.m_row,
           0,
           EncodeRecord({ aCall.m_nonce, {}, aCall.m_wallMicros }),
           aCall.m_deadline };
}

WriteRecord
AtMostOnce::Store(CallId aId, Call& aCall)
{
  aCall.m_busy = true;
  SetWakeup(aId, aCall, aCall.m_giveUp);
  return { Step::FrontWriteAnswer,
           aId,
           aCall.m_row,
           aCall.m_version,
           EncodeRecord(
             { aCall.m_nonce, aCall.m_reply.m_answer, aCall.m_wallMicros }),
           aCall.m_giveUp };
}

/// The version is that of the own insert, so the delete cannot take away a row
/// that another front inserted since.
WriteRecord
AtMostOnce::Delete(CallId aId, Call& aCall)
{
  aCall.m_busy = true;
  std::optional<RowVersion> expected = aCall.m_version;
  if (!m_options.m_safeguards.m_checkVersionOnDelete) {
    expected.reset();
  }
  return { Step::FrontDeleteRecord, aId, aCall.m_row, expected, std::nullopt,
           aCall.m_giveUp };
}

void
AtMostOnce::SetWakeup(CallId aId, Call& aCall, Time aTime)
{
  m_wakeups.erase({ aCall.m_wakeup, aId });
  aCall.m_wakeup = aTime;
  m_wakeups.emplace(aTime, aId);
}

void
AtMostOnce::Close(Calls::iterator aCall)
{
  m_wakeups.erase({ aCall->second.m_wakeup, aCall->first });
  m_calls.erase(aCall);
}

void
AtMostOnce::ReplyNow(Calls::iterator aCall, OnceActions& aActions)
{
  Call& call = aCall->second;
  if (!call.m_replied) {
    call.m_replied = true;
    aActions.push_back(ReplyToCaller{ aCall->first, call.m_reply });
  }
}

void
AtMostOnce::ReplyUncertain(Calls::iterator aCall,
                           ErrorCode aCode,
                           const std::string& aMessage,
                           OnceActions& aActions)
{
  aCall->second.m_reply.m_error = { Verdict::MayHaveRun, aCode, aMessage };
  ReplyNow(aCall, aActions);
}

// ---- Insert ----

OnceActions
AtMostOnce::Begin(Time aNow,
                  std::int64_t aWallMicros,
                  CallId aCall,
                  const TeamId& aTeam,
                  const std::string& aIdempotencyKey,
                  Time aDeadline)
{
  Call call;
  call.m_row = RecordRow(aTeam, aIdempotencyKey);
  call.m_nonce = m_noncePrefix + "-" + std::to_string(aCall);
  call.m_deadline = aDeadline;
  call.m_wallMicros = aWallMicros;
  call.m_giveUp = aDeadline + m_options.m_settleTime;
  const auto found = m_calls.emplace(aCall, std::move(call)).first;
  OnceActions actions;
  if (m_calls.size() > m_options.m_maxCalls) {
    ReplyUncertain(found,
                   ErrorCode::QueueFull,
                   "too many unsettled requests; repeat with the same key",
                   actions);
    Close(found);
    return actions;
  }
  actions.push_back(Insert(aCall, found->second));
  if (!m_options.m_safeguards.m_insertBeforeForward) {
    StartForward(aNow, found, actions);
  }
  return actions;
}

void
AtMostOnce::StartForward(Time aNow,
                         Calls::iterator aCall,
                         OnceActions& aActions)
{
  Call& call = aCall->second;
  call.m_state = State::Forwarded;
  if (aNow >= call.m_deadline) {
    // It was never forwarded, so the record can go.
    OwnerReply reply;
    reply.m_error = { Verdict::NotRun,
                      ErrorCode::DeadlineExceeded,
                      "deadline exceeded before the request was forwarded" };
    auto end =
      OnForwardEnd(aNow, call.m_wallMicros, aCall->first, std::move(reply));
    aActions.insert(aActions.end(), end.begin(), end.end());
    return;
  }
  m_wakeups.erase({ call.m_wakeup, aCall->first });
  aActions.push_back(ForwardCall{ aCall->first });
}

OnceActions
AtMostOnce::OnWritten(Time aNow,
                      CallId aCall,
                      Step aStep,
                      table::CommitState aState,
                      RowVersion aVersion)
{
  OnceActions actions;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return actions;
  }
  found->second.m_busy = false;
  if (aStep == Step::FrontWriteInsert) {
    OnInserted(aNow, found, aState, aVersion, actions);
  } else if (aStep == Step::FrontDeleteRecord) {
    OnDeleted(aNow, found, aState, actions);
  } else {
    OnStored(aNow, found, aState);
  }
  return actions;
}

void
AtMostOnce::OnInserted(Time aNow,
                       Calls::iterator aCall,
                       table::CommitState aState,
                       RowVersion aVersion,
                       OnceActions& aActions)
{
  using table::CommitState;
  Call& call = aCall->second;
  if (aState == CommitState::Committed) {
    ++m_counters.m_inserted;
    call.m_version = aVersion;
    if (call.m_state == State::Inserting) {
      StartForward(aNow, aCall, aActions);
    } else if (call.m_state == State::Cleaning) {
      aActions.push_back(Delete(aCall->first, call));
    }
    return;
  }
  if (call.m_state != State::Inserting && call.m_state != State::Cleaning) {
    return;
  }
  if (aState == CommitState::NotApplied) {
    ReplyUncertain(aCall,
                   ErrorCode::StoreUnavailable,
                   "table cannot be reached; repeat with the same key",
                   aActions);
    Close(aCall);
    return;
  }
  if (aState == CommitState::Unknown) {
    ++m_counters.m_unknownInserts;
    if (!m_options.m_safeguards.m_readBackUnknown) {
      StartForward(aNow, aCall, aActions);
      return;
    }
  }
  ReadBack(aNow, aCall, aActions);
}

void
AtMostOnce::ReadBack(Time aNow, Calls::iterator aCall, OnceActions& aActions)
{
  Call& call = aCall->second;
  if (call.m_state != State::Cleaning) {
    call.m_state = State::ReadingBack;
    SetWakeup(aCall->first, call, std::max(aNow, call.m_deadline));
  }
  call.m_busy = true;
  aActions.push_back(ReadRecord{ aCall->first, call.m_row });
}

bool
AtMostOnce::MayWaitForAnswer(Time aNow, Call& aCall) const
{
  if (!aCall.m_waitEnd) {
    aCall.m_waitEnd = std::min(aCall.m_deadline, aNow + m_options.m_repeatWait);
  }
  return aCall.m_state != State::Cleaning &&
         aNow + m_options.m_retryPeriod < *aCall.m_waitEnd;
}

OnceActions
AtMostOnce::OnRead(Time aNow,
                   CallId aCall,
                   const std::optional<table::Row>& aRow)
{
  OnceActions actions;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return actions;
  }
  Call& call = found->second;
  call.m_busy = false;
  const bool cleaning = call.m_state == State::Cleaning;
  if (!cleaning && call.m_state != State::ReadingBack) {
    return actions;
  }
  if (!aRow) {
    const Time end = cleaning ? call.m_giveUp : call.m_deadline;
    SetWakeup(aCall, call, std::min(end, aNow + m_options.m_retryPeriod));
    return actions;
  }
  if (aRow->m_version != 0) {
    OnFound(aNow, found, *aRow, actions);
    return actions;
  }
  if (cleaning) {
    Close(found);
    return actions;
  }
  if (call.m_waitEnd) {
    // The other try was given up as not run. A repeat that ran now could do so
    // after a later call with the same key was told "not run".
    ReplyRepeat(found, actions);
    return actions;
  }
  // The read may be stale or the insert may still arrive: the conditional
  // insert decides, under the same nonce.
  actions.push_back(Insert(aCall, call));
  return actions;
}

void
AtMostOnce::OnFound(Time aNow,
                    Calls::iterator aCall,
                    const table::Row& aRow,
                    OnceActions& aActions)
{
  Call& call = aCall->second;
  const RequestRecord record = leaf::try_handle_all(
    [&] { return DecodeRecord(aRow.m_value); }, [] { return RequestRecord(); });
  if (record.m_nonce == call.m_nonce) {
    call.m_version = aRow.m_version;
    if (call.m_state == State::Cleaning) {
      aActions.push_back(Delete(aCall->first, call));
      return;
    }
    StartForward(aNow, aCall, aActions);
    return;
  }
  if (record.m_answer) {
    ++m_counters.m_storedAnswers;
    call.m_reply.m_answer = record.m_answer;
    ReplyNow(aCall, aActions);
  } else if (MayWaitForAnswer(aNow, call)) {
    // The first try may still be under way; its answer serves the repeat too.
    call.m_state = State::ReadingBack;
    SetWakeup(aCall->first, call, aNow + m_options.m_retryPeriod);
    return;
  } else {
    ReplyRepeat(aCall, aActions);
    return;
  }
  Close(aCall);
}

void
AtMostOnce::ReplyRepeat(Calls::iterator aCall, OnceActions& aActions)
{
  ++m_counters.m_repeats;
  ReplyUncertain(aCall,
                 ErrorCode::Conflict,
                 "a request with this key was started before",
                 aActions);
  Close(aCall);
}

// ---- After the forward ----

OnceActions
AtMostOnce::OnForwardEnd(Time aNow,
                         std::int64_t aWallMicros,
                         CallId aCall,
                         OwnerReply aReply)
{
  OnceActions actions;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || found->second.m_state != State::Forwarded) {
    return actions;
  }
  Call& call = found->second;
  call.m_reply = std::move(aReply);
  call.m_wallMicros = aWallMicros;
  call.m_giveUp = aNow + m_options.m_settleTime;
  if (call.m_reply.m_answer) {
    ReplyNow(found, actions);
    call.m_state = State::Storing;
    actions.push_back(Store(aCall, call));
    return actions;
  }
  if (call.m_reply.m_error.m_verdict != Verdict::NotRun) {
    ReplyNow(found, actions);
    Close(found);
    return actions;
  }
  call.m_state = State::Deleting;
  SetWakeup(
    aCall, call, std::max(call.m_deadline, aNow + m_options.m_retryPeriod));
  actions.push_back(Delete(aCall, call));
  return actions;
}

void
AtMostOnce::OnDeleted(Time aNow,
                      Calls::iterator aCall,
                      table::CommitState aState,
                      OnceActions& aActions)
{
  using table::CommitState;
  Call& call = aCall->second;
  if (call.m_state != State::Deleting && call.m_state != State::Cleaning) {
    return;
  }
  ReplyNow(aCall, aActions);
  if (aState == CommitState::Committed || aState == CommitState::Conflict) {
    Close(aCall);
    return;
  }
  call.m_state = State::Cleaning;
  SetWakeup(aCall->first,
            call,
            std::min(call.m_giveUp, aNow + m_options.m_retryPeriod));
}

void
AtMostOnce::OnStored(Time aNow,
                     Calls::iterator aCall,
                     table::CommitState aState)
{
  using table::CommitState;
  Call& call = aCall->second;
  if (call.m_state != State::Storing) {
    return;
  }
  if (aState == CommitState::Committed || aState == CommitState::Conflict) {
    Close(aCall);
    return;
  }
  SetWakeup(aCall->first,
            call,
            std::min(call.m_giveUp, aNow + m_options.m_retryPeriod));
}

// ---- Time ----

OnceActions
AtMostOnce::OnTick(Time aNow)
{
  OnceActions actions;
  while (!m_wakeups.empty() && m_wakeups.begin()->first <= aNow) {
    const auto call = m_calls.find(m_wakeups.begin()->second);
    m_wakeups.erase(m_wakeups.begin());
    OnDue(aNow, call, actions);
  }
  return actions;
}

void
AtMostOnce::OnDue(Time aNow, Calls::iterator aCall, OnceActions& aActions)
{
  Call& call = aCall->second;
  const bool unsettled =
    call.m_state == State::Storing || call.m_state == State::Cleaning;
  if (unsettled && aNow >= call.m_giveUp) {
    ++m_counters.m_unsettled;
    Close(aCall);
    return;
  }
  if (call.m_state == State::Storing) {
    aActions.push_back(Store(aCall->first, call));
    return;
  }
  if (call.m_state == State::Deleting) {
    // The reply does not wait longer; it is true whether the delete succeeds.
    ReplyNow(aCall, aActions);
    return;
  }
  if (call.m_state == State::Cleaning) {
    ReadBack(aNow, aCall, aActions);
    return;
  }
  if (aNow < call.m_deadline) {
    ReadBack(aNow, aCall, aActions);
    return;
  }
  ReplyUncertain(aCall,
                 ErrorCode::StoreUnavailable,
                 "table did not answer in time; repeat with the same key",
                 aActions);
  call.m_state = State::Cleaning;
  if (!call.m_busy) {
    ReadBack(aNow, aCall, aActions);
  }
}

std::optional<Time>
AtMostOnce::NextWakeup() const
{
  if (m_wakeups.empty()) {
    return std::nullopt;
  }
  return m_wakeups.begin()->first;
}

} // namespace lacewing::routing
