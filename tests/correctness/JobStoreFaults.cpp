/// Guards against marks that are told as durable and are not, against two
/// owners that both hold the mark of one start, and against results that are
/// told twice or never, with each fault of the table at each operation.
#include "daemon/JobStore.h"
#include "fakes/RowOwner.h"
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using daemon::JobStore;

const SliceId kSlice("s");
const JobId kProof("s.1");  ///< tasks run at most once
const JobId kRepeat("s.2"); ///< tasks may be repeated
constexpr std::uint32_t kTasks = 2;
constexpr std::array kFaults = { RowFault::None,       RowFault::AnswerLost,
                                 RowFault::NotApplied, RowFault::Lost,
                                 RowFault::Slow,       RowFault::Down,
                                 RowFault::Overtaken };

/// A result that a store has told.
struct Told
{
  int m_times = 0;
  bool m_durable = false;
};

/// An owner of the slice: loads, then marks each task of the proof that no
/// mark is known of, one after the other.
struct Owner
{
  Owner(EventQueue& aQueue,
        ProcessSet& aProcesses,
        FaultyTable& aTable,
        const std::string& aVm,
        Epoch aEpoch)
    : m_rows(aQueue, aProcesses, aTable, VmId(aVm))
    , m_queue(aQueue)
    , m_store(
        std::make_shared<JobStore>(m_rows.Access(), kSlice, aVm + "/1", aEpoch))
  {
  }

  void Load()
  {
    m_store->Load(
      [this](const jobs::JobRecord& aRecord) {
        ++m_loadedTimes[aRecord.m_id];
        m_loaded[aRecord.m_id] = aRecord;
      },
      [this](bool aDone) {
        if (aDone) {
          m_isLoaded = true;
          MarkNext(0);
        } else if (!m_stopsLoading) {
          m_queue.After(seconds(1), [this] { Load(); });
        }
      });
  }

  void MarkNext(std::uint32_t aTask)
  {
    if (aTask == kTasks) {
      return;
    }
    if (!m_loaded.contains(kProof) ||
        m_loaded.at(kProof).m_marked.contains(aTask)) {
      MarkNext(aTask + 1);
      return;
    }
    m_asked.insert(aTask);
    m_store->Mark({ kProof, aTask }, [this, aTask](bool aDurable) {
      ++m_marks[aTask].m_times;
      m_marks[aTask].m_durable = aDurable;
      if (aDurable) {
        m_onDurable(aTask);
      }
      MarkNext(aTask + 1);
    });
  }

  RowOwner m_rows;
  EventQueue& m_queue;
  std::shared_ptr<JobStore> m_store;
  std::map<JobId, jobs::JobRecord> m_loaded;
  std::map<JobId, int> m_loadedTimes;
  std::set<std::uint32_t> m_asked;
  std::map<std::uint32_t, Told> m_marks;
  std::function<void(std::uint32_t)> m_onDurable = [](std::uint32_t) {};
  bool m_isLoaded = false;
  bool m_stopsLoading = false;
};

jobs::JobRecord
MakeRecord(const JobId& aJob, bool aAtMostOnce)
{
  jobs::JobRecord record;
  record.m_id = aJob;
  record.m_team = TeamId("t");
  record.m_spec.m_name = "job";
  record.m_spec.m_tasks = kTasks;
  record.m_spec.m_perTask = { 1000, 1024, 0 };
  record.m_spec.m_atMostOnce = aAtMostOnce;
  record.m_nonce = aJob.Value();
  return record;
}

/// A table with both jobs, a first owner, and the one that takes over.
struct World
{
  World()
  {
    table::Commit commit;
    for (const auto& record :
         { MakeRecord(kProof, true), MakeRecord(kRepeat, false) }) {
      commit.m_puts.push_back(
        { jobs::JobRow(record.m_id), jobs::EncodeRecord(record) });
    }
    m_table.ApplyNow(commit);
    for (Owner* owner : { &m_first, &m_next }) {
      owner->m_onDurable = [this](std::uint32_t aTask) {
        EXPECT_TRUE(Row(kProof).m_marked.contains(aTask))
          << "told as durable and not in the row";
      };
    }
  }

  jobs::JobRecord Row(const JobId& aJob) const
  {
    const auto row = m_table.Table().AllRows().at(jobs::JobRow(aJob));
    jobs::JobRecord record;
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(record, jobs::DecodeRecord(aJob, row.m_value));
        return {};
      },
      [] { ADD_FAILURE() << "malformed row"; });
    return record;
  }

  void CheckMarks()
  {
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      const bool both =
        m_first.m_marks[task].m_durable && m_next.m_marks[task].m_durable;
      EXPECT_FALSE(both) << "two owners hold the mark of task " << task;
    }
    for (Owner* owner : { &m_first, &m_next }) {
      for (const std::uint32_t task : owner->m_asked) {
        EXPECT_EQ(owner->m_marks[task].m_times, 1) << "task " << task;
      }
      for (const auto& [job, times] : owner->m_loadedTimes) {
        EXPECT_EQ(times, 1) << "loads of " << job;
      }
    }
  }

  EventQueue m_queue;
  ProcessSet m_processes{ m_queue };
  FaultyTable m_table{ m_queue, m_processes };
  Owner m_first{ m_queue, m_processes, m_table, "a", 1 };
  Owner m_next{ m_queue, m_processes, m_table, "b", 2 };
};

std::string
Describe(RowFault aFault, int aOperation, Duration aTakeover)
{
  return "fault " + std::to_string(static_cast<int>(aFault)) +
         " at operation " + std::to_string(aOperation) + ", takeover after " +
         std::to_string(aTakeover.count()) + " us";
}

/// Operations of an owner in a run without faults, and a few more.
constexpr int kOperations = 8;

} // namespace

TEST(JobStoreFaults, AMarkIsToldOnceAndOnlyIfItIsDurable)
{
  for (const RowFault fault : kFaults) {
    for (int operation = 1; operation <= kOperations; ++operation) {
      SCOPED_TRACE(Describe(fault, operation, {}));
      World world;
      world.m_first.m_rows.Inject(fault, operation);
      world.m_first.m_rows.OnOvertaken([] {});
      world.m_first.Load();
      world.m_queue.RunFor(seconds(120));
      world.CheckMarks();
      // Without another owner, each fault passes.
      EXPECT_TRUE(world.m_first.m_isLoaded);
      for (std::uint32_t task = 0; task < kTasks; ++task) {
        EXPECT_TRUE(world.m_first.m_marks[task].m_durable);
      }
    }
  }
}

TEST(JobStoreFaults, TwoOwnersNeverBothHoldTheMarkOfOneStart)
{
  int faultsMet = 0;
  for (const RowFault fault : kFaults) {
    for (int operation = 1; operation <= kOperations; ++operation) {
      for (const bool inNext : { false, true }) {
        for (int takeover = 0; takeover <= 40; takeover += 1) {
          const Duration after = milliseconds(takeover);
          SCOPED_TRACE(Describe(fault, operation, after) +
                       (inNext ? " of the next owner" : ""));
          World world;
          Owner& faulty = inNext ? world.m_next : world.m_first;
          Owner& other = inNext ? world.m_first : world.m_next;
          faulty.m_rows.Inject(fault, operation);
          faulty.m_rows.OnOvertaken(
            [&] { other.m_store->RequestCancel(kProof, [](bool) {}); });
          world.m_first.m_stopsLoading = true;
          world.m_first.Load();
          world.m_queue.After(after, [&] { world.m_next.Load(); });
          world.m_queue.RunFor(seconds(120));
          faultsMet += faulty.m_rows.Operations() >= operation ? 1 : 0;
          world.CheckMarks();
          EXPECT_TRUE(world.m_next.m_isLoaded);
          // The next owner knows each mark in the row, as its own or read.
          for (const std::uint32_t task : world.Row(kProof).m_marked) {
            EXPECT_TRUE(world.m_next.m_loaded[kProof].m_marked.contains(task) ||
                        world.m_next.m_marks[task].m_durable)
              << "the next owner does not know the mark of task " << task;
          }
          // It is not kept from starting by a former owner.
          for (const std::uint32_t task : world.m_next.m_asked) {
            EXPECT_TRUE(world.m_next.m_marks[task].m_durable);
          }
        }
      }
    }
  }
  EXPECT_GT(faultsMet, 0);
}

/// The answer of the write is lost and the row is read back.
TEST(JobStoreFaults, AWriteWhoseAnswerWasLostIsNotWrittenAgain)
{
  World world;
  world.m_first.Load();
  world.m_queue.RunFor(seconds(1));
  const auto before = world.m_table.Table().Commits();
  world.m_first.m_rows.Inject(RowFault::AnswerLost,
                              world.m_first.m_rows.Operations() + 1);
  Told told;
  world.m_first.m_store->Succeed({ kRepeat, 1 }, [&](bool aDurable) {
    ++told.m_times;
    told.m_durable = aDurable;
  });
  world.m_queue.RunFor(seconds(60));
  EXPECT_EQ(told.m_times, 1);
  EXPECT_TRUE(told.m_durable);
  EXPECT_EQ(world.m_table.Table().Commits(), before + 1);
}

TEST(JobStoreFaults, NothingIsToldWhileTheTableIsDown)
{
  World world;
  world.m_first.Load();
  world.m_queue.RunFor(seconds(1));
  world.m_table.Faults().m_down = true;
  Told told;
  world.m_first.m_store->Succeed({ kProof, 0 }, [&](bool aDurable) {
    ++told.m_times;
    told.m_durable = aDurable;
  });
  world.m_queue.RunFor(seconds(300));
  EXPECT_EQ(told.m_times, 0);
  world.m_table.Faults().m_down = false;
  world.m_queue.RunFor(seconds(30));
  EXPECT_EQ(told.m_times, 1);
  EXPECT_TRUE(told.m_durable);
  EXPECT_TRUE(world.Row(kProof).m_succeeded.contains(0));
}

/// The request to cancel is durable before the owner is lost; the next one
/// stops the task that still runs and starts no other.
TEST(JobStoreFaults, ASecondReadFindsOnlyWhatWasWrittenSince)
{
  const JobId late("s.3");
  World world;
  world.m_first.Load();
  world.m_queue.RunFor(seconds(1));
  table::Commit commit;
  commit.m_puts.push_back(
    { jobs::JobRow(late), jobs::EncodeRecord(MakeRecord(late, true)) });
  world.m_table.ApplyNow(commit);
  world.m_first.Load();
  world.m_queue.RunFor(seconds(1));
  EXPECT_EQ(world.m_first.m_loadedTimes[late], 1);
  EXPECT_EQ(world.m_first.m_loadedTimes[kProof], 1);
  EXPECT_EQ(world.m_first.m_loadedTimes[kRepeat], 1);
}

TEST(JobStoreFaults, AJobThatMayHaveRunIsTakenOverForItsTeamsDecision)
{
  World world;
  world.m_first.Load();
  world.m_queue.RunFor(seconds(1));
  ASSERT_EQ(world.Row(kProof).m_marked.size(), kTasks);
  world.m_first.m_store->End(kProof, jobs::JobEnding::MayHaveRun, [](bool) {});
  world.m_queue.RunFor(seconds(1));
  world.m_next.Load();
  world.m_queue.RunFor(seconds(1));
  const jobs::JobRecord& loaded = world.m_next.m_loaded.at(kProof);
  EXPECT_TRUE(jobs::MayStillRun(loaded));
  EXPECT_TRUE(loaded.m_nonce.starts_with("b/1/2/"))
    << "the former owner could still write a mark of a task that runs again";

  auto scheduler = MakeSlice(1);
  const Time now = world.m_queue.Now();
  auto spec = MakeJob(kProof.Value(), "t", kTasks, { 1000, 1024, 0 });
  spec.m_atMostOnce = true;
  sched::RecoveredTasks tasks;
  tasks.m_marked.assign(loaded.m_marked.begin(), loaded.m_marked.end());
  scheduler.Recover(now, spec, tasks);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  EXPECT_EQ(scheduler.JobStatus(kProof)->m_state, sched::JobState::MayHaveRun);
  EXPECT_EQ(scheduler.Resolve(now, kProof, true), kTasks);
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), sched::ActionKind::MarkStarted),
            kTasks);
  world.m_next.m_store->Reopen(kProof, [](bool) {});
  world.m_queue.RunFor(seconds(1));
  EXPECT_EQ(world.Row(kProof).m_ending, jobs::JobEnding::Open);
  EXPECT_EQ(world.Row(kProof).m_endedMicros, 0);
}

TEST(JobStoreFaults, ACancellationSurvivesATakeover)
{
  for (const RowFault fault : kFaults) {
    for (int ahead = 1; ahead <= 3; ++ahead) {
      SCOPED_TRACE(Describe(fault, ahead, {}));
      World world;
      world.m_first.Load();
      world.m_queue.RunFor(seconds(1));
      world.m_first.m_rows.Inject(fault,
                                  world.m_first.m_rows.Operations() + ahead);
      world.m_first.m_rows.OnOvertaken([] {});
      int told = 0;
      world.m_first.m_store->RequestCancel(
        kRepeat, [&](bool aDurable) { told += aDurable ? 1 : 0; });
      world.m_queue.RunFor(seconds(60));
      ASSERT_EQ(told, 1);
      world.m_next.Load();
      world.m_queue.RunFor(seconds(1));
      const jobs::JobRecord& loaded = world.m_next.m_loaded.at(kRepeat);
      ASSERT_TRUE(loaded.m_cancelRequested);

      DaemonScheduler scheduler;
      const Time now = world.m_queue.Now();
      scheduler.SetTeam(now, TeamId("t"), 1);
      scheduler.SetAllotment(TeamId("t"), kAmpleAllotment);
      scheduler.UpsertWorker(now, MakeWorker(0));
      sched::RecoveredTasks tasks;
      tasks.m_cancelled = loaded.m_cancelRequested;
      scheduler.Recover(
        now, MakeJob(kRepeat.Value(), "t", kTasks, { 1000, 1024, 0 }), tasks);
      worker::RunningTask running;
      running.m_task = { kRepeat, 0 };
      running.m_attempt = 1;
      running.m_reserved = { 1000, 1024, 0 };
      scheduler.Adopt(now, VmId("w0"), { running });
      scheduler.SetOpen(true);
      const auto actions = scheduler.Decide(now, 10);
      ASSERT_EQ(actions.size(), 1U);
      EXPECT_EQ(actions[0].m_kind, sched::ActionKind::Stop);
      EXPECT_EQ(actions[0].m_task, running.m_task);
    }
  }
}

} // namespace lacewing::fakes
