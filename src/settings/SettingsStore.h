/// Keeps the settings of a process equal to the table's, makes changes durable
/// and knows whether keys may be trusted. A pure state machine: every function
/// takes the present time and returns effects that the daemon carries out.
///
/// Versions: the row `settings/index` counts all accepted changes (fleet
/// version). The process confirms with a transaction that only checks the
/// index row that its settings are the newest.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "settings/SettingsRows.h"
#include "settings/SettingsTree.h"
#include "settings/StoreSteps.h"
#include "table/TableTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::settings {

/// Matches a table operation with its answer.
using OperationId = std::uint64_t;
/// Chosen by the caller of `Change`; comes back in `ChangeDone`.
using Ticket = std::uint64_t;

/// Deliberate faults, with which the tests show that the history checkers find
/// them. `None` everywhere else.
enum class Mutation : std::uint8_t
{
  None,
  NoVersionCheck,     ///< takes lower versions
  NoFreshnessLimit,   ///< trusts keys of any age
  NoCompareAndSet,    ///< commits without checks
  NoReadBack,         ///< takes an unknown result as not in effect
  ConfirmByRead,      ///< a read of the index confirms the version
  HeartbeatAtArrival, ///< a peer's age counts from the arrival of its message
  PromisesOfLiveOnly, ///< members lost since the confirmation aren't needed
  ServeUnconfirmed,   ///< serves with the peers' version but no confirmation
};

/// Where a process gets new settings from.
enum class Distribution : std::uint8_t
{
  Direct, ///< each process reads the table
  Region, ///< one process per region reads and passes on to its region
};

struct StoreOptions
{
  VmId m_self;
  Incarnation m_incarnation = 1;
  RegionId m_region;
  Distribution m_distribution = Distribution::Region;
  Duration m_poll = milliseconds(1000);
  Duration m_heartbeat = milliseconds(1000);
  Duration m_keyFreshness = milliseconds(5000);
  Duration m_promise = milliseconds(3000);
  /// A process that isn't the reader of its region reads by itself from this
  /// age of its confirmation on.
  Duration m_ownReadAge = milliseconds(3500);
  Duration m_retry = milliseconds(200);
  double m_clockRateError = kDefaultClockRateError;
  Mutation m_mutation = Mutation::None;
};

/// Another active member.
struct Member
{
  VmId m_vm;
  Incarnation m_incarnation = 0;
  RegionId m_region;

  auto operator<=>(const Member&) const = default;
};

/// Sent to every member in each heartbeat period.
struct Heartbeat
{
  Incarnation m_incarnation = 0;
  std::uint64_t m_number = 0; ///< grows with each heartbeat of the sender
  /// The newest heartbeat that the sender has received from the receiver. The
  /// confirmation counts from when that one was sent, so a delay of this
  /// message can't make it look younger.
  Incarnation m_echoIncarnation = 0;
  std::uint64_t m_echoNumber = 0;
  FleetVersion m_fleet = 0; ///< in force at the sender
  FleetVersion m_known = 0; ///< newest that the sender has heard of
  /// Age of the sender's confirmation of `m_fleet`, on its clock.
  std::optional<Duration> m_age;
};

/// Asks a member of the same region for what has changed.
struct RowsRequest
{
  FleetVersion m_fleet = 0;
  std::map<std::string, SettingsVersion> m_have;
};

/// The index and the subtrees that the requester has not, as table rows.
struct RowsAnswer
{
  table::Rows m_rows;
};

using PeerMessage = std::variant<Heartbeat, RowsRequest, RowsAnswer>;

struct CommitEffect
{
  OperationId m_operation = 0;
  table::Commit m_commit;
};

struct ReadEffect
{
  OperationId m_operation = 0;
  table::Read m_read;
};

struct SendEffect
{
  VmId m_to;
  PeerMessage m_message;
};

/// The protocol is at the step; the effects that follow belong to it.
struct StepEffect
{
  Step m_step = Step::ChangeCheck;
};

/// A subtree's version is now in force, or is known to be faulty.
struct InForceEffect
{
  std::string m_subtree;
  SettingsVersion m_version = 0;
  FleetVersion m_fleet = 0;
  std::vector<SettingChange> m_changes;
  std::string m_fault; ///< empty unless the version doesn't fit the schema
};

/// The answer to a change. Without an error it is durable and accepted.
struct ChangeDone
{
  Ticket m_ticket = 0;
  SettingsVersion m_version = 0;
  FleetVersion m_fleet = 0;
  std::optional<Error> m_error;
  std::vector<SettingError> m_faults; ///< of the text
};

using Effect = std::variant<CommitEffect,
                            ReadEffect,
                            SendEffect,
                            StepEffect,
                            InForceEffect,
                            ChangeDone>;
using Effects = std::vector<Effect>;

struct ChangeRequest
{
  Ticket m_ticket = 0;
  std::string m_subtree;
  SettingsVersion m_expected = 0; ///< version that the text was made from
  std::string m_text;
  Time m_deadline{};
};

class SettingsStore
{
public:
  explicit SettingsStore(StoreOptions aOptions);

  /// Begins to read. The members are the others that are neither deposed nor
  /// gone.
  Effects Start(Time aNow, std::vector<Member> aMembers);
  /// To be called every 100 ms or so.
  Effects Tick(Time aNow);
  void SetMembers(Time aNow, std::vector<Member> aMembers);
  /// Timings from the settings in force; the daemon passes them on.
  void SetTimings(Duration aPoll, Duration aKeyFreshness);

  /// Checks a change and makes it durable. Answered by one `ChangeDone`, at
  /// the deadline at the latest. The verdict of an error is `NotRun` only if
  /// the change is surely not in effect.
  Effects Change(Time aNow, ChangeRequest aChange);

  Effects OnCommit(Time aNow,
                   OperationId aOperation,
                   const table::CommitResult& aResult);
  Effects OnRead(Time aNow,
                 OperationId aOperation,
                 const table::ReadResult& aResult);
  Effects OnMessage(Time aNow, const VmId& aFrom, const PeerMessage& aMessage);

  /// This process has promised to accept no change for `m_promise`. Returns
  /// the fleet version that belongs into the promise.
  FleetVersion GivePromise(Time aNow);
  /// A member's answer to a probe sent at the given time.
  void OnPromise(Time aProbeSentAt,
                 const VmId& aVm,
                 Incarnation aIncarnation,
                 FleetVersion aKnown);

  /// True once settings are in force that were the newest at a time after the
  /// start.
  bool Ready() const { return m_ready; }
  /// True if no withdrawal of a key can have been accepted longer ago than the
  /// freshness limit without being in force here.
  bool KeysUsable(Time aNow) const;
  /// Time since the version in force was confirmed; nothing before the first.
  std::optional<Duration> ConfirmationAge(Time aNow) const;

  const SettingsTree& Tree() const { return m_tree; }
  FleetVersion Fleet() const { return m_index.m_fleet; }
  FleetVersion Known() const { return m_known; }
  /// Subtrees whose newest version doesn't fit the schema.
  std::vector<std::string> BadSubtrees() const;
  const StoreOptions& Options() const { return m_options; }

private:
  enum class Kind : std::uint8_t
  {
    Confirm,
    Index,
    Rows,
    ChangeRead,
    ChangeCommit,
    ReadBack,
  };
  enum class Phase : std::uint8_t
  {
    Reading,
    Committing,
    ReadingBack,
    Waiting, ///< for the next attempt
    Held,    ///< accepted, but a promise forbids to say so
  };

  struct Operation
  {
    Kind m_kind = Kind::Confirm;
    Time m_sentAt{};
    Ticket m_ticket = 0;
    std::vector<std::string> m_subtrees; ///< asked for
  };

  struct Pending
  {
    ChangeRequest m_request;
    Phase m_phase = Phase::Reading;
    Phase m_next = Phase::Reading; ///< after `Waiting`
    Time m_nextAt{};
    std::string m_nonce;
    table::Commit m_commit;
    RowVersion m_indexRow = 0; ///< checked by the commit
    int m_openCommits = 0;     ///< sent ones that may be in effect
    bool m_refuted = false;    ///< a commit with these checks conflicted
    SettingsVersion m_version = 0;
    FleetVersion m_fleet = 0;
  };

  struct Peer
  {
    Incarnation m_incarnation = 0;
    std::uint64_t m_number = 0;
    Time m_heardAt{};
    bool m_hasAnswered = false; ///< a heartbeat of this incarnation
  };

  struct Promised
  {
    Incarnation m_incarnation = 0;
    Time m_until{};
    FleetVersion m_known = 0;
  };

  OperationId Begin(Time aNow, Kind aKind, Ticket aTicket);
  bool InFlight(Kind aKind) const;
  void SendConfirm(Time aNow, Effects& aEffects);
  void SendIndexRead(Time aNow, Effects& aEffects);
  void SendHeartbeats(Time aNow, bool aOnlyRegion, Effects& aEffects);
  void FetchIfWanted(Time aNow, Effects& aEffects);
  bool IsReader(Time aNow) const;
  bool MayReadTable(Time aNow) const;
  void Confirmed(Time aAsOf);
  void UpdateReady();
  bool AllAnswered() const;
  bool IsExtended(Time aNow) const;
  bool IsPromising(Time aNow) const;

  void OnConfirm(Time aNow,
                 const Operation& aOperation,
                 const table::CommitResult& aResult,
                 Effects& aEffects);
  void OnIndexRead(Time aNow,
                   const Operation& aOperation,
                   const table::ReadResult& aResult,
                   Effects& aEffects);
  void OnRowsRead(Time aNow,
                  const Operation& aOperation,
                  const table::ReadResult& aResult,
                  Effects& aEffects);
  void TakeRows(Time aNow,
                const table::Rows& aRows,
                const std::vector<std::string>& aRequested,
                Effects& aEffects);
  bool TakeSubtree(const std::string& aName,
                   SettingsVersion aVersion,
                   const table::Rows& aRows,
                   bool aRequested,
                   Effects& aEffects);
  std::vector<std::string> ChangedSubtrees(const IndexRow& aIndex) const;

  void OnHeartbeat(Time aNow,
                   const VmId& aFrom,
                   const Heartbeat& aHeartbeat,
                   Effects& aEffects);
  void Credit(Time aNow, const VmId& aFrom, const Heartbeat& aHeartbeat);
  void OnRowsRequest(const VmId& aFrom,
                     const RowsRequest& aRequest,
                     Effects& aEffects);

  void SendChangeRead(Time aNow, Pending& aPending, Effects& aEffects);
  void SendCommit(Time aNow, Pending& aPending, Effects& aEffects);
  void SendReadBack(Time aNow, Pending& aPending, Effects& aEffects);
  void Wait(Time aNow, Pending& aPending, Phase aNext);
  void OnChangeRead(Time aNow,
                    Pending& aPending,
                    const table::ReadResult& aResult,
                    Effects& aEffects);
  void OnChangeCommit(Time aNow,
                      Pending& aPending,
                      const table::CommitResult& aResult,
                      Effects& aEffects);
  void OnReadBack(Time aNow,
                  Pending& aPending,
                  const table::ReadResult& aResult,
                  Effects& aEffects);
  void DecideFromReadBack(Time aNow,
                          Pending& aPending,
                          const table::ReadResult& aResult,
                          Effects& aEffects);
  void BuildCommit(Pending& aPending,
                   const IndexRow& aIndex,
                   RowVersion aSubtreeRow);
  void Accept(Time aNow, Pending& aPending, Effects& aEffects);
  void Refuse(Ticket aTicket,
              Verdict aVerdict,
              ErrorCode aCode,
              std::string aMessage,
              Effects& aEffects);
  void RefuseConflict(const Pending& aPending,
                      SettingsVersion aPresent,
                      Effects& aEffects);
  void Expire(Time aNow, const Pending& aPending, Effects& aEffects);
  void TickChanges(Time aNow, Effects& aEffects);

  bool Has(Mutation aMutation) const
  {
    return m_options.m_mutation == aMutation;
  }

  StoreOptions m_options;
  std::vector<Member> m_members;
  std::map<VmId, Peer> m_peers;
  Time m_startedAt{};
  bool m_started = false;
  bool m_ready = false;

  SettingsTree m_tree;
  IndexRow m_index;
  RowVersion m_indexRow = 0;
  std::string m_indexValue;
  bool m_haveIndex = false;
  FleetVersion m_known = 0;
  bool m_fetchWanted = false;
  Time m_nextFetch{};
  Time m_nextPoll{};
  Time m_nextHeartbeat{};
  std::uint64_t m_heartbeatNumber = 0;
  std::map<std::uint64_t, Time> m_heartbeatTimes; ///< when each was sent
  bool m_readByItself = false; ///< the next fetch doesn't wait for the reader

  std::optional<Time> m_confirmedAt;
  /// Members that were lost, and when. Those lost since the last confirmation
  /// may have accepted a change that nobody else knows of.
  std::vector<std::pair<Time, Member>> m_lost;
  std::map<VmId, Promised> m_promises;
  std::optional<Time> m_promisedUntil; ///< by this process

  OperationId m_lastOperation = 0;
  std::map<OperationId, Operation> m_operations;
  std::map<Ticket, Pending> m_pending;
  std::uint64_t m_lastNonce = 0;
};

} // namespace lacewing::settings

template<>
struct lacewing::EnumNames<lacewing::settings::Mutation>
{
  using Mutation = lacewing::settings::Mutation;
  static constexpr std::array kTable = {
    std::pair{ Mutation::None, std::string_view("none") },
    std::pair{ Mutation::NoVersionCheck, std::string_view("no_version_check") },
    std::pair{ Mutation::NoFreshnessLimit,
               std::string_view("no_freshness_limit") },
    std::pair{ Mutation::NoCompareAndSet,
               std::string_view("no_compare_and_set") },
    std::pair{ Mutation::NoReadBack, std::string_view("no_read_back") },
    std::pair{ Mutation::ConfirmByRead, std::string_view("confirm_by_read") },
    std::pair{ Mutation::HeartbeatAtArrival,
               std::string_view("heartbeat_at_arrival") },
    std::pair{ Mutation::PromisesOfLiveOnly,
               std::string_view("promises_of_live_only") },
    std::pair{ Mutation::ServeUnconfirmed,
               std::string_view("serve_unconfirmed") },
  };
};
