/// Guards against a job that can start in two slices, that no slice has, or
/// that nobody announces, with each fault of the table at each operation of a
/// move and with the owner replaced at each moment.
#include "daemon/JobMover.h"
#include "fakes/RowOwner.h"
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using daemon::JobMover;
using daemon::JobStore;

const SliceId kOld("old");
const SliceId kNew("new");
const JobId kJob("old.1");
const std::string kOwnerRow = "slice/old";
constexpr std::array kFaults = { RowFault::None,       RowFault::AnswerLost,
                                 RowFault::NotApplied, RowFault::Lost,
                                 RowFault::Slow,       RowFault::Down,
                                 RowFault::Overtaken };

jobs::JobRecord
MakeRecord()
{
  jobs::JobRecord record;
  record.m_id = kJob;
  record.m_team = TeamId("t");
  record.m_spec.m_name = "job";
  record.m_spec.m_perTask = { 1000, 1024, 0 };
  record.m_submission = "submission/t/key";
  record.m_nonce = kJob.Value();
  return record;
}

/// An owner of one slice. It may start the job from when it has read or been
/// told of it, while it has authority.
struct SliceOwner
{
  SliceOwner(EventQueue& aQueue,
             ProcessSet& aProcesses,
             FaultyTable& aTable,
             const std::string& aVm,
             const SliceId& aSlice,
             Epoch aEpoch)
    : m_rows(aQueue, aProcesses, aTable, VmId(aVm))
    , m_store(
        std::make_shared<JobStore>(m_rows.Access(), aSlice, aVm + "/1", aEpoch))
  {
    m_rows.OnOvertaken([] {});
  }

  void Load()
  {
    m_store->Load(
      [this](const jobs::JobRecord& aRecord) {
        m_hasJob |= jobs::MayStillRun(aRecord);
      },
      [](bool) {});
  }

  void Announce(const jobs::JobRecord& aRecord, RowVersion aVersion)
  {
    m_hasJob |= m_store->Add(aRecord, aVersion);
  }

  bool MayStart() const { return m_hasAuthority && m_hasJob; }

  RowOwner m_rows;
  std::shared_ptr<JobStore> m_store;
  bool m_hasAuthority = true;
  bool m_hasJob = false;
};

/// The job in the old slice, whose owner moves it to the new one.
struct World
{
  explicit World(bool aChecksOwner = true)
  {
    table::Commit commit;
    commit.m_puts = { { jobs::JobRow(kJob), jobs::EncodeRecord(MakeRecord()) },
                      { kOwnerRow, "a" } };
    m_ownerVersion = m_table.ApplyNow(commit).m_version;
    daemon::MoveHooks hooks;
    hooks.m_ownerCheck = [this, aChecksOwner]() -> std::optional<table::Check> {
      if (!m_old.m_hasAuthority && aChecksOwner) {
        return std::nullopt;
      }
      return aChecksOwner ? table::Check{ kOwnerRow, m_ownerVersion }
                          : table::Check{ "unused", 0 };
    };
    hooks.m_onMoved = [this](const daemon::MovedJob& aJob) {
      ++m_announced;
      m_cancelled = aJob.m_cancel;
      m_new.Announce(aJob.m_record, aJob.m_version);
      Check();
    };
    hooks.m_putBack = [this](const jobs::JobRecord&, bool aCancel) {
      ++m_putBack;
      m_cancelled = aCancel;
      m_old.m_hasJob = true;
      Check();
    };
    hooks.m_onUnderWay = [this](int aChange) { m_underWay += aChange; };
    m_mover =
      std::make_shared<JobMover>(m_old.m_rows.Access(), m_old.m_store, hooks);
    m_old.Load();
    m_queue.RunFor(seconds(1));
    m_operationsBefore = m_old.m_rows.Operations();
  }

  void BeginMove()
  {
    m_old.m_hasJob = false; // The scheduler has given it up.
    EXPECT_TRUE(m_mover->Begin(kJob, kNew));
  }

  /// The member that has the old slice is deposed, and the next owner claims
  /// the slice and reads its jobs.
  void ReplaceOwner()
  {
    m_old.m_hasAuthority = false;
    table::Commit claim;
    claim.m_puts = { { kOwnerRow, "b" } };
    m_table.ApplyNow(claim);
    m_next.Load();
  }

  /// Counts a moment at which more than one owner may start the job.
  void Check()
  {
    const int may =
      int(m_old.MayStart()) + int(m_next.MayStart()) + int(m_new.MayStart());
    m_violations += int(may > 1);
  }

  ~World()
  {
    EXPECT_EQ(m_violations > 0, m_expectsViolation)
      << "moments at which the job may start in two slices: " << m_violations;
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Runs and checks after each step of time.
  void Run(Duration aTime)
  {
    for (Duration at{}; at < aTime; at += milliseconds(100)) {
      m_queue.RunFor(milliseconds(100));
      Check();
    }
  }

  /// Exactly one slice has an open row of the job.
  void CheckRows() const
  {
    int open = 0;
    for (const SliceId& slice : { kOld, kNew }) {
      const auto& rows = m_table.Table().AllRows();
      const auto row = rows.find(jobs::JobRow(slice, kJob));
      open += int(row != rows.end() &&
                  row->second.m_value.find("moved_to") == std::string::npos);
    }
    EXPECT_EQ(open, 1);
  }

  bool HasMoved() const
  {
    return m_table.Table().AllRows().contains(jobs::JobRow(kNew, kJob));
  }

  EventQueue m_queue;
  ProcessSet m_processes{ m_queue };
  FaultyTable m_table{ m_queue, m_processes };
  SliceOwner m_old{ m_queue, m_processes, m_table, "a", kOld, 1 };
  SliceOwner m_next{ m_queue, m_processes, m_table, "b", kOld, 2 };
  SliceOwner m_new{ m_queue, m_processes, m_table, "c", kNew, 1 };
  std::shared_ptr<JobMover> m_mover;
  RowVersion m_ownerVersion = 0;
  int m_operationsBefore = 0;
  int m_announced = 0;
  int m_putBack = 0;
  int m_underWay = 0;
  bool m_cancelled = false;
  int m_violations = 0;
  bool m_expectsViolation = false; ///< a mechanism is left out
};

constexpr int kOperations = 5;

std::string
Describe(RowFault aFault, int aOperation, Duration aReplaced)
{
  return "fault " + std::to_string(static_cast<int>(aFault)) +
         " at operation " + std::to_string(aOperation) + ", replaced after " +
         std::to_string(aReplaced.count()) + " us";
}

} // namespace

TEST(JobMoveFaults, AMoveEndsInExactlyOneSliceWithEachFault)
{
  for (const RowFault fault : kFaults) {
    for (int operation = 1; operation <= kOperations; ++operation) {
      SCOPED_TRACE(Describe(fault, operation, {}));
      World world;
      world.m_old.m_rows.Inject(fault, world.m_operationsBefore + operation);
      world.BeginMove();
      EXPECT_EQ(world.m_underWay, 1);
      world.Run(seconds(60));
      world.CheckRows();
      EXPECT_EQ(world.m_announced + world.m_putBack, 1);
      EXPECT_EQ(world.m_announced == 1, world.HasMoved());
      EXPECT_EQ(world.m_underWay, 0);
    }
  }
}

TEST(JobMoveFaults, AReplacedOwnersMoveNeverLetsTheJobStartInTwoSlices)
{
  int movedBefore = 0;
  int failed = 0;
  for (const RowFault fault : kFaults) {
    for (int operation = 1; operation <= kOperations; ++operation) {
      for (int replaced = 0; replaced <= 2000; replaced += 1) {
        // Every millisecond of the usual case, then around the timeouts.
        if (replaced > 12 && replaced % 97 != 0) {
          continue;
        }
        SCOPED_TRACE(Describe(fault, operation, milliseconds(replaced)));
        World world;
        world.m_old.m_rows.Inject(fault, world.m_operationsBefore + operation);
        world.BeginMove();
        world.m_queue.After(milliseconds(replaced),
                            [&] { world.ReplaceOwner(); });
        world.Run(seconds(30));
        world.CheckRows();
        EXPECT_EQ(world.m_underWay, 0);
        // The owner of the new slice finds a job that nobody announced.
        world.m_next.Load();
        world.m_new.Load();
        world.Run(seconds(2));
        EXPECT_EQ(world.m_new.m_hasJob, world.HasMoved());
        EXPECT_TRUE(world.m_new.MayStart() || world.m_next.MayStart());
        (world.HasMoved() ? movedBefore : failed) += 1;
      }
    }
  }
  EXPECT_GT(movedBefore, 0);
  EXPECT_GT(failed, 0);
}

/// The transaction is held until the next owner has read the job.
TEST(JobMoveFaults, ALateMoveOfADeposedOwnerFails)
{
  World world;
  world.m_table.Faults().m_holdNextCommit = milliseconds(500);
  world.BeginMove();
  world.m_queue.After(milliseconds(100), [&] { world.ReplaceOwner(); });
  world.Run(seconds(30));
  EXPECT_TRUE(world.m_next.MayStart());
  EXPECT_FALSE(world.HasMoved());
  EXPECT_EQ(world.m_putBack, 0) << "the deposed owner must not keep the job";
}

/// Without the check of the slice's row, the same sequence is a fault that the
/// checks above find.
TEST(JobMoveFaults, TheChecksNoticeAMissingCheckOfTheOwner)
{
  World world(false);
  world.m_table.Faults().m_holdNextCommit = milliseconds(500);
  world.BeginMove();
  world.m_queue.After(milliseconds(100), [&] { world.ReplaceOwner(); });
  world.m_queue.RunFor(seconds(5));
  world.m_new.Load();
  world.Run(seconds(1));
  world.m_expectsViolation = true;
}

TEST(JobMoveFaults, ARepeatedAnnouncementChangesNothing)
{
  World world;
  world.BeginMove();
  world.Run(seconds(1));
  ASSERT_TRUE(world.HasMoved());
  // The front that accepted the job repeats its message to the old slice.
  world.m_old.Announce(MakeRecord(), 1);
  world.Check();
  // So it does after a takeover of the old slice.
  world.ReplaceOwner();
  world.Run(seconds(1));
  world.m_next.Announce(MakeRecord(), 1);
  world.Check();
  EXPECT_FALSE(world.m_next.m_hasJob);
}

TEST(JobMoveFaults, ACancellationDuringTheMoveFollowsTheJob)
{
  for (const bool conflict : { false, true }) {
    World world;
    if (conflict) {
      table::Commit other;
      other.m_puts = { { jobs::JobRow(kNew, kJob), "in the way" } };
      world.m_table.ApplyNow(other);
    }
    world.BeginMove();
    EXPECT_TRUE(world.m_mover->Cancel(kJob));
    world.Run(seconds(10));
    EXPECT_EQ(world.m_putBack, conflict ? 1 : 0);
    EXPECT_EQ(world.m_announced, conflict ? 0 : 1);
    EXPECT_TRUE(world.m_cancelled);
    EXPECT_FALSE(world.m_mover->Cancel(kJob)) << "it is not moving any more";
  }
}

/// The transaction takes effect long after its outcome could not be found out
/// in time. A job that was put back meanwhile would run in both slices.
TEST(JobMoveFaults, AMoveOfUnknownOutcomeIsNotPutBack)
{
  World world;
  auto& faults = world.m_table.Faults();
  faults.m_holdNextCommit = seconds(15);
  world.BeginMove();
  world.m_queue.After(milliseconds(100), [&] { faults.m_down = true; });
  world.m_queue.After(seconds(12), [&] { faults.m_down = false; });
  world.Run(seconds(40));
  world.CheckRows();
  EXPECT_EQ(world.m_announced + world.m_putBack, 1);
  EXPECT_EQ(world.m_announced == 1, world.HasMoved());
}

/// A deposed owner that still writes the row must not write over the tombstone
/// of the next owner, which would leave the job open in two slices.
TEST(JobMoveFaults, AWriteOfADeposedOwnerLeavesTheTombstone)
{
  World world;
  world.m_next.m_hasAuthority = false;
  world.m_next.Load();
  world.m_queue.RunFor(seconds(1));
  world.BeginMove();
  world.Run(seconds(1));
  ASSERT_TRUE(world.HasMoved());
  bool durable = true;
  world.m_next.m_store->Succeed({ kJob, 0 },
                                [&](bool aDurable) { durable = aDurable; });
  world.Run(seconds(5));
  world.CheckRows();
  EXPECT_FALSE(durable);
}

TEST(JobMoveFaults, AMoveOutlivesTheOwnerOfItsSlice)
{
  World world;
  world.m_table.Faults().m_delay = milliseconds(300);
  world.BeginMove();
  world.m_mover.reset();
  world.m_old.m_store.reset();
  world.Run(seconds(5));
  EXPECT_TRUE(world.HasMoved());
  EXPECT_EQ(world.m_announced, 1);
}

} // namespace lacewing::fakes
