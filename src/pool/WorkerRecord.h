/// What the leader knows about the workers of the pool: their resources, what
/// runs on them, how long their leases last, and whether they can be given
/// more.
#pragma once

#include "pool/Job.h"
#include "pool/TrackedJob.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::pool {

/// Latest start of a worker that is believed, in milliseconds since the Unix
/// epoch: the year 2100. A later one would hide all true incarnations.
inline constexpr std::int64_t kMaxIncarnation = 4'102'444'800'000;

/// A worker's description of itself.
struct WorkerInfo
{
  WorkerId m_id;
  std::int64_t m_incarnation =
    0; ///< wall clock of its start; differs between incarnations
  std::string m_address;
  ServiceId m_service;
  DomainId m_domain;
  std::string m_rack;
  std::vector<std::string> m_labels; ///< its kind and its rack
  Resources m_capacity;
  bool m_draining = false;

  bool HasLabel(const std::string& aLabel) const;
};

enum class PlacementState : std::uint8_t
{
  Starting, ///< start sent; not confirmed yet
  Running,
  Stopping, ///< stop sent; uses resources until its end is reported
};

/// A run that is on a worker or may be.
struct Placement
{
  RunNumber m_run = 0;
  Resources m_resources;
  TeamId m_team;
  PlacementState m_state = PlacementState::Starting;
  Time m_since{};
  int m_percent = 0;    ///< progress that the worker reported last
  Time m_progressAt{};  ///< when the progress last grew
  Time m_expectedEnd{}; ///< by the expected run time and the worker's speed
  /// The worker has reported or confirmed it, or confirmed its stop: once it
  /// has ended that run can't start there again.
  bool m_confirmed = false;
  /// When its start was confirmed by a response.
  std::optional<Time> m_confirmedAt;
  /// An inventory of the worker's present incarnation has listed it.
  bool m_wasListed = false;
  /// The known incarnation of the worker has confirmed its start or listed it.
  bool m_isHeld = false;
  Time m_lastCopyUntil{}; ///< the last copy of its start arrives by this time
  Time m_earlierCopiesUntil{}; ///< likewise, those before
  /// The worker has restarted since the start was sent: it runs on the new
  /// incarnation or not at all.
  bool m_sentBeforeRestart = false;
  /// Since then the worker refuses the run if it is not there.
  std::optional<Time> m_stopConfirmedAt;
  int m_missingInventories = 0; ///< inventories in a row without it
  /// The worker reports it, and this leader does not know its job yet.
  bool m_unknown = false;
  /// It is not needed and being stopped; its task waits for its end.
  bool m_surplus = false;
  bool m_adopted = false; ///< started by an earlier leader
  bool m_resumed = false; ///< it continues from a checkpoint
};

/// One run in a worker's inventory.
struct ReportedRun
{
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_checkpoint;
  int m_percent = 0;
};

/// One end in a worker's inventory.
struct ReportedEnd
{
  std::uint64_t m_number = 0;
  TaskRef m_task;
  RunNumber m_run = 0;
  RunEnd m_how = RunEnd::Stopped;
  std::string m_checkpoint;
};

/// A worker's response to the extension of its lease.
struct Inventory
{
  std::int64_t m_incarnation = 0;
  std::int64_t m_clockMs = 0; ///< the worker's steady clock
  /// When the leader sent the request. Runs that it knew of before are either
  /// listed or have ended.
  Time m_requestedAt = Time::max();
  std::vector<ReportedRun> m_running;
  std::vector<ReportedEnd> m_ended;
  /// The worker may have further ends, which it lists once these are
  /// acknowledged. A run that is not listed may then have ended in any way.
  bool m_endsTruncated = false;

  bool Lists(const TaskRef& aTask, RunNumber aRun) const;
};

/// How long tasks take on a worker, as a mean of the time over the expected
/// one. Only the ratios of different workers are compared.
class RuntimeRatio
{
public:
  void Add(double aRatio);
  double Mean() const { return m_mean; }

private:
  double m_mean = 1;
};

/// Speed of a worker relative to the mean of all workers.
enum class SpeedClass : std::uint8_t
{
  Fast,
  Usual,
  Slow,
  VerySlow, ///< used only if there is no other
};

SpeedClass
SpeedOf(const RuntimeRatio& aWorker, const RuntimeRatio& aAll);

struct WorkerRecord
{
  WorkerInfo m_info;
  WorkerSlot m_slot = 0;
  bool m_listed = true; ///< the store lists it
  /// Its failure domain is being evacuated: it gets no new tasks.
  bool m_evacuated = false;
  /// Incarnation that the store's entry describes. The next one may have other
  /// labels, resources and another service.
  std::int64_t m_describedIncarnation = 0;
  bool m_adopted = false; ///< this incarnation has reported to this leader
  /// When its present incarnation became known here.
  Time m_incarnationSince{};
  /// Its former incarnation was known here.
  bool m_restarted = false;
  /// It did not answer the last lease extension, so it may have restarted.
  bool m_silent = false;
  /// Since then the clock in an answer is that of a later incarnation.
  std::optional<Time> m_laterClockSince;
  bool m_recorded = false; ///< the stored row of the leader names it
  bool m_toRecord = false; ///< the next row names it
  /// The scheduler will look at the end of its lease.
  bool m_leaseCheckDue = false;
  Time m_lastResponse{};
  std::int64_t m_clockMs = 0;    ///< its clock at its last response
  std::int64_t m_deadlineMs = 0; ///< latest lease end sent, on its clock
  /// Commands with a lease end that were sent so far are taken to have reached
  /// it by this time, or never to do so.
  Time m_commandsUntil{};
  /// Its known incarnation has answered a request that was sent at this time.
  Time m_knownAliveAt{};
  std::map<TaskRef, Placement> m_placements;
  int m_unknownRuns = 0; ///< placements whose resources are not known
  Resources m_used;
  WorkerFailures m_failures;
  /// In this plan it gets one task at a time, since it is suspect.
  bool m_onTrial = false;
  RuntimeRatio m_runtimeRatio;
  Time m_avoidUntil{};
  std::uint64_t m_highestEnd = 0;
  std::set<std::uint64_t> m_unsavedEnds;
  bool m_endsTruncated = false; ///< its last inventory listed only some ends
  int m_repeatedInventories =
    0; ///< inventories in a row with only known, unsaved ends

  Resources Free() const { return m_info.m_capacity - m_used; }
  /// Ends up to this one are stored, so that the worker may discard them; none
  /// for a silent worker, which may number its ends anew.
  std::uint64_t SavedEnds() const;
  /// Delay before the next inventory is requested. While ends are not stored
  /// the worker responds at once, with the same ends.
  Duration DelayBeforeNextInventory() const;
  /// The least that its clock can show now if it has not restarted; 0 if it is
  /// not known.
  std::int64_t LeastClockMs(Time aNow) const;
  /// True if an answer or the lack of one shows that it may have restarted.
  bool MayHaveRestarted() const { return m_silent || m_laterClockSince; }
  /// Latest time, on this process's clock, at which a run on the worker can
  /// still go on without a new lease.
  Time LeaseEnd() const;
  /// The same for a run that a later incarnation than the known one may have
  /// taken. It holds the run for the longest lease that workers accept.
  Time UnheardLeaseEnd(Duration aLongestLease) const;
  /// True if a later incarnation than the known one may have the run: one copy
  /// of its start is that which the known one has taken, others are not.
  bool MayRunUnheard(const Placement& aPlacement) const
  {
    return (!aPlacement.m_isHeld && m_commandsUntil > m_knownAliveAt) ||
           aPlacement.m_earlierCopiesUntil > m_knownAliveAt;
  }
  /// True if it has not responded to this leader for `kWorkerTimeout`, or
  /// never.
  bool HasTimedOut(Time aNow) const;
  /// True if the store's entry is that of its present incarnation.
  bool IsDescribed() const
  {
    return m_describedIncarnation == m_info.m_incarnation;
  }
  /// True if a task was placed there since the latest failure.
  bool IsTried() const;
  /// True if it can be given new tasks unless it is suspect. `aAllowance` is
  /// the time by which this process may read responses late.
  bool IsAvailable(Time aNow, Duration aAllowance = Duration::zero()) const;
  /// The same, and it is not avoided as suspect.
  bool CanAcceptTasks(Time aNow, Duration aAllowance = Duration::zero()) const;
};

/// How many tasks of that size fit in the capacity.
std::uint32_t
TasksThatFit(const Resources& aEach, const Resources& aCapacity);

/// What that many tasks of that size need.
Resources
ForTasks(const Resources& aEach, std::int64_t aCount);

/// A ticket of the policy service has to be valid for at least this long, to
/// cover the delivery to the worker.
inline constexpr Duration kTicketMargin = milliseconds(200);

/// Length of a lease that a worker is given. It has to outlast a change of the
/// leader, about two seconds; a shorter one frees the tasks of a lost worker
/// sooner.
inline constexpr Duration kLeaseLength = milliseconds(4800);

/// Longest lease that a worker accepts, and thus the longest that a previous
/// leader can have sent, unless the settings name another.
inline constexpr Duration kDefaultLongestLease = milliseconds(6000);

/// A worker is taken to have a command within this time or never, unless its
/// sender names another.
inline constexpr Duration kUsualDelivery = seconds(1);

/// Added to the end of a lease for the resolution of the clocks.
inline constexpr Duration kLeaseMargin = milliseconds(50);

/// Fraction by which a worker's clock may run slow.
inline constexpr double kWorkerClockError = 0.02;

/// How long a worker can hold its runs, by this process's clock, once a command
/// with a lease of that length has arrived.
inline Duration
LongestHold(Duration aLease)
{
  return Scale(aLease, 1 / (1 - kWorkerClockError)) + kLeaseMargin;
}

/// The leader's row omits a worker that has not responded for this long, unless
/// tasks may run on it. The timeout is long, so that an overloaded leader does
/// not write its row for workers whose responses it has not read yet.
inline constexpr Duration kWorkerTimeout = seconds(6);

/// The leader sends no new tasks to a worker that has not responded for this
/// long. A worker responds at least once a second, or less often to a leader
/// whose event loop is late.
inline constexpr Duration kUnresponsiveAfter = milliseconds(1600);

} // namespace lacewing::pool
