/// The front's at-most-once protocol for non-idempotent requests.
///
/// A record `request/<team>/<idempotency key>` is inserted before the request
/// is forwarded. A repeat finds it and gets the stored answer or "may have
/// run". "Not run" is said only by the front whose own insert took effect: it
/// then knows that no other try with the same key ran before. Without that
/// knowledge (the table cannot be reached) the reply is "may have run", since
/// an earlier try through another front may have run.
#pragma once

#include "routing/ForwardTable.h"
#include "table/TableTypes.h"

#include <map>
#include <string>

namespace lacewing::routing {

/// Content of a record.
struct RequestRecord
{
  std::string m_nonce;                    ///< of the front that inserted it
  std::optional<EndpointAnswer> m_answer; ///< nothing while only started
  /// Time of day of the answer, or else of the request's arrival, in
  /// microseconds since 1970; 0 in records of former versions.
  std::int64_t m_writtenMicros = 0;
};

std::string
EncodeRecord(const RequestRecord& aRecord);
/// Errors: `Internal` with what is wrong in the text.
Result<RequestRecord>
DecodeRecord(const std::string& aText);

/// Key of the record's row. The team's name must not contain '/'.
std::string
RecordRow(const TeamId& aTeam, const std::string& aIdempotencyKey);

/// Write one row through group commit, then call `OnWritten`.
struct WriteRecord
{
  Step m_step = Step::FrontWriteInsert;
  CallId m_call = 0;
  std::string m_key;
  /// Version that the row must have, 0 for absent; nothing for any version.
  std::optional<RowVersion> m_expected;
  std::optional<std::string> m_value; ///< nothing deletes the row
  /// The write is given up at this time if it was not sent by then.
  Time m_deadline{};
};

/// Read one row, then call `OnRead`.
struct ReadRecord
{
  static constexpr Step kStep = Step::FrontReadRecord;
  CallId m_call = 0;
  std::string m_key;
};

/// Forward the request to an owner now.
struct ForwardCall
{
  static constexpr Step kStep = Step::FrontForward;
  CallId m_call = 0;
};

/// Reply to the caller, once per call: the answer, or the error without one.
struct ReplyToCaller
{
  static constexpr Step kStep = Step::FrontReply;
  CallId m_call = 0;
  OwnerReply m_reply;
};

using OnceAction =
  std::variant<WriteRecord, ReadRecord, ForwardCall, ReplyToCaller>;
using OnceActions = std::vector<OnceAction>;

struct OnceOptions
{
  /// Calls whose record is not settled; above it new ones are refused.
  std::size_t m_maxCalls = 10'000;
  Duration m_retryPeriod = milliseconds(200); ///< of reads and writes
  /// How long a repeat waits for the answer of a try that is under way.
  Duration m_repeatWait = seconds(2);
  /// Time after the reply in which the record is still brought up to date.
  Duration m_settleTime = seconds(30);
  Safeguards m_safeguards;
};

struct OnceCounters
{
  std::uint64_t m_inserted = 0;
  std::uint64_t m_storedAnswers = 0; ///< repeats that got the stored answer
  std::uint64_t m_repeats = 0;       ///< repeats that got "may have run"
  std::uint64_t m_unknownInserts = 0;
  std::uint64_t m_unsettled = 0; ///< records given up on
};

class AtMostOnce
{
public:
  /// The nonce prefix is unique to the front's incarnation.
  AtMostOnce(std::string aNoncePrefix, OnceOptions aOptions = {});

  /// The time of day, in microseconds since 1970, goes into the record only.
  OnceActions Begin(Time aNow,
                    std::int64_t aWallMicros,
                    CallId aCall,
                    const TeamId& aTeam,
                    const std::string& aIdempotencyKey,
                    Time aDeadline);
  /// Result of a `WriteRecord`: its state and the row's version.
  OnceActions OnWritten(Time aNow,
                        CallId aCall,
                        Step aStep,
                        table::CommitState aState,
                        RowVersion aVersion);
  /// Result of a `ReadRecord`: nothing if the table did not answer, a row of
  /// version 0 if there is none.
  OnceActions OnRead(Time aNow,
                     CallId aCall,
                     const std::optional<table::Row>& aRow);
  /// The end of a forwarded call.
  OnceActions OnForwardEnd(Time aNow,
                           std::int64_t aWallMicros,
                           CallId aCall,
                           OwnerReply aReply);
  OnceActions OnTick(Time aNow);

  std::optional<Time> NextWakeup() const;
  std::size_t size() const { return m_calls.size(); }
  const OnceCounters& Counters() const { return m_counters; }

private:
  enum class State : std::uint8_t
  {
    Inserting,   ///< the insert is under way
    ReadingBack, ///< looks for the own insert or another front's
    Forwarded,
    Storing,  ///< replied; the answer is being stored
    Deleting, ///< knows that it did not run; the delete is under way
    Cleaning, ///< replied; the row may be the own insert, which never ran
  };

  struct Call
  {
    State m_state = State::Inserting;
    std::string m_row;
    std::string m_nonce;
    Time m_deadline{};
    Time m_wakeup{};
    bool m_replied = false;
    bool m_busy = false;      ///< a read or write is under way
    RowVersion m_version = 0; ///< of the own insert
    /// Until when the answer of another front's try is waited for.
    std::optional<Time> m_waitEnd;
    std::int64_t m_wallMicros = 0; ///< time of day for the record
    OwnerReply m_reply;            ///< to give or to store
    Time m_giveUp{};               ///< end of the work after the reply
  };
  using Calls = std::map<CallId, Call>;

  /// Ends a repeat of a request whose outcome is not known.
  void ReplyRepeat(Calls::iterator aCall, OnceActions& aActions);
  bool MayWaitForAnswer(Time aNow, Call& aCall) const;
  WriteRecord Insert(CallId aId, Call& aCall);
  WriteRecord Store(CallId aId, Call& aCall);
  WriteRecord Delete(CallId aId, Call& aCall);
  void SetWakeup(CallId aId, Call& aCall, Time aTime);
  void StartForward(Time aNow, Calls::iterator aCall, OnceActions& aActions);
  void OnInserted(Time aNow,
                  Calls::iterator aCall,
                  table::CommitState aState,
                  RowVersion aVersion,
                  OnceActions& aActions);
  void OnDeleted(Time aNow,
                 Calls::iterator aCall,
                 table::CommitState aState,
                 OnceActions& aActions);
  void OnStored(Time aNow, Calls::iterator aCall, table::CommitState aState);
  void ReadBack(Time aNow, Calls::iterator aCall, OnceActions& aActions);
  void OnFound(Time aNow,
               Calls::iterator aCall,
               const table::Row& aRow,
               OnceActions& aActions);
  void ReplyNow(Calls::iterator aCall, OnceActions& aActions);
  void ReplyUncertain(Calls::iterator aCall,
                      ErrorCode aCode,
                      const std::string& aMessage,
                      OnceActions& aActions);
  void OnDue(Time aNow, Calls::iterator aCall, OnceActions& aActions);
  void Close(Calls::iterator aCall);

  std::string m_noncePrefix;
  OnceOptions m_options;
  Calls m_calls;
  std::set<std::pair<Time, CallId>> m_wakeups;
  OnceCounters m_counters;
};

} // namespace lacewing::routing
