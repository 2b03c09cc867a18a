/// Guards against jobs that are lost, loaded twice or not fenced when the rows
/// of a slice are read in several pages.
#include "daemon/JobStore.h"
#include "fakes/RowOwner.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

constexpr int kJobs = 1200; // three pages

std::string
NameOfJob(int aNumber)
{
  return "s." + std::to_string(10'000 + aNumber);
}

struct World
{
  World()
  {
    m_table.KeepCopies(false);
    table::Commit commit;
    for (int number = 0; number < kJobs; ++number) {
      jobs::JobRecord record;
      record.m_id = JobId(NameOfJob(number));
      record.m_team = TeamId("t");
      record.m_spec.m_atMostOnce = number % 10 == 0;
      record.m_nonce = "front/1/1/1";
      commit.m_puts.push_back(
        { jobs::JobRow(record.m_id), jobs::EncodeRecord(record) });
    }
    m_table.ApplyNow(commit);
  }

  /// Loads until it succeeds, as the owner of a slice does.
  void Load()
  {
    m_store->Load(
      [this](const jobs::JobRecord& aRecord) { ++m_loaded[aRecord.m_id]; },
      [this](bool aDone) {
        m_done = aDone;
        if (!aDone) {
          m_queue.After(seconds(1), [this] { Load(); });
        }
      });
  }

  EventQueue m_queue;
  ProcessSet m_processes{ m_queue };
  FaultyTable m_table{ m_queue, m_processes };
  RowOwner m_owner{ m_queue, m_processes, m_table, VmId("entry-1") };
  std::shared_ptr<daemon::JobStore> m_store =
    std::make_shared<daemon::JobStore>(m_owner.Access(),
                                       SliceId("s"),
                                       "entry-1/1",
                                       2);
  std::map<JobId, int> m_loaded;
  bool m_done = false;
};

} // namespace

TEST(JobStorePages, EveryJobIsLoadedOnceUnderEveryFault)
{
  for (const RowFault fault : { RowFault::None,
                                RowFault::AnswerLost,
                                RowFault::NotApplied,
                                RowFault::Lost,
                                RowFault::Down }) {
    for (int step = 1; step <= 5; ++step) {
      SCOPED_TRACE(std::to_string(static_cast<int>(fault)) + " at " +
                   std::to_string(step));
      World world;
      world.m_owner.Inject(fault, step);
      world.Load();
      world.m_queue.RunUntil(Time() + seconds(60));
      EXPECT_TRUE(world.m_done);
      ASSERT_EQ(world.m_loaded.size(), static_cast<std::size_t>(kJobs));
      for (const auto& [job, times] : world.m_loaded) {
        EXPECT_EQ(times, 1) << job;
      }
      // The fence has written the rows of at-most-once jobs anew.
      const auto& rows = world.m_table.Table().AllRows();
      const JobId fenced(NameOfJob(1190));
      const auto& row = rows.at(jobs::JobRow(fenced));
      EXPECT_NE(row.m_value.find("entry-1/1/2/"), std::string::npos);
    }
  }
}

TEST(JobStorePages, ARowDeletedBetweenPagesEndsNoLoad)
{
  World world;
  world.m_owner.OnOvertaken([&] {
    table::Commit commit;
    commit.m_deletes = { jobs::JobRow(JobId(NameOfJob(499))),
                         jobs::JobRow(JobId(NameOfJob(700))) };
    world.m_table.ApplyNow(commit);
  });
  world.m_owner.Inject(RowFault::Overtaken, 2);
  world.Load();
  world.m_queue.RunUntil(Time() + seconds(60));
  EXPECT_TRUE(world.m_done);
  EXPECT_EQ(world.m_loaded.size(), static_cast<std::size_t>(kJobs - 1));
}

} // namespace lacewing::fakes
