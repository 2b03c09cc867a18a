/// Outstanding forwards of a front: matches replies of owners, ends them by
/// their deadlines, and decides on another try at another slice.
#pragma once

#include "routing/Request.h"
#include "routing/RetryBudget.h"
#include "routing/Step.h"

#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lacewing::routing {

/// A caller's request at a front: unique within the front's incarnation.
using CallId = std::uint64_t;

/// One try at one owner; the number in `RequestId`.
using ForwardId = std::uint64_t;

/// What the owner replied: a whole answer, or the error when there is none.
struct OwnerReply
{
  std::optional<EndpointAnswer> m_answer;
  Error m_error;
  Duration m_retryAfter{};
};

/// Give the answer to the call.
struct DeliverAnswer
{
  CallId m_call = 0;
  EndpointAnswer m_answer;
};

/// End the call with the error.
struct FailCall
{
  CallId m_call = 0;
  Error m_error;
  Duration m_retryAfter{};
};

/// Choose a slice that is not among the tried ones and call `Send` again, or
/// `GiveUp` when there is none.
struct TryElsewhere
{
  CallId m_call = 0;
  std::set<SliceId> m_tried;
};

using ForwardOutcome = std::variant<DeliverAnswer, FailCall, TryElsewhere>;
using ForwardOutcomes = std::vector<ForwardOutcome>;

struct ForwardOptions
{
  int m_maxTries = 3;
  double m_retryRatio = 0.1; ///< tries elsewhere as a fraction of calls
  double m_retryBurst = 10.0;
  Safeguards m_safeguards;
};

struct ForwardCounters
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_lateReplies = 0; ///< dropped: the forward had ended
  std::uint64_t m_triedElsewhere = 0;
};

class ForwardTable
{
public:
  explicit ForwardTable(ForwardOptions aOptions = {});

  /// Opens a call. Its deadline is on this process's clock.
  void Open(CallId aCall, Time aDeadline, bool aIdempotent);
  /// Notes that the call is forwarded to a slice and its owner now.
  ForwardId Send(CallId aCall, const SliceId& aSlice, const VmId& aOwner);
  /// No slice is left: ends the call with what is known of its tries.
  FailCall GiveUp(CallId aCall);

  /// A reply; nothing comes out for one that arrives late or twice.
  ForwardOutcomes OnReply(Time aNow, ForwardId aForward, OwnerReply aReply);
  /// The connection to an incarnation of an owner broke.
  ForwardOutcomes OnOwnerLost(Time aNow, const VmId& aOwner);
  /// Idempotent calls that wait for a reply of the owner and have tries left,
  /// ordered by id, with the slices that they have tried.
  std::vector<TryElsewhere> WaitingFor(const VmId& aOwner) const;
  /// Gives up the present try of such a call, whose owner is suspect. False if
  /// the retry budget is used up; then the call goes on waiting.
  bool LeaveOwner(CallId aCall);
  /// Ends calls whose deadline has passed.
  ForwardOutcomes OnTick(Time aNow);

  std::optional<Time> NextWakeup() const;
  std::size_t size() const { return m_calls.size(); }
  const ForwardCounters& Counters() const { return m_counters; }

private:
  struct Call
  {
    Time m_deadline{};
    bool m_idempotent = false;
    bool m_mayHaveRun = false; ///< an earlier try may have run
    int m_tries = 0;
    std::set<SliceId> m_tried;
    ForwardId m_forward = 0; ///< outstanding; 0 for none
    VmId m_owner;
    Error m_lastError{ Verdict::NotRun, ErrorCode::Unavailable, "no slice" };
    Duration m_retryAfter{};
  };

  ForwardOutcome OnError(Time aNow,
                         CallId aCall,
                         Error aError,
                         Duration aRetryAfter);
  bool MayTryElsewhere(Time aNow, const Call& aCall, const Error& aError);
  void Close(CallId aCall);

  ForwardOptions m_options;
  RetryBudget m_budget;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<ForwardId, CallId> m_forwards;
  std::set<std::pair<Time, CallId>> m_deadlines;
  ForwardId m_nextForward = 1;
  ForwardCounters m_counters;
};

} // namespace lacewing::routing
