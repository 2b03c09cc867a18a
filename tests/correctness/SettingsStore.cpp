/// Guards single rules of the settings store that the schedules reach rarely.
#include "fakes/SettingsCluster.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

namespace {

/// A store whose effects the test answers from a table in memory.
class StoreTest : public testing::Test
{
protected:
  StoreTest()
    : m_store(Options())
  {
    IndexRow index{ 2, { { "system", 1 }, { "team.a", 1 } } };
    Put("settings/index", EncodeIndex(index));
    Put("settings/system", EncodeSubtree({ 1, "", "s" }));
    Put("settings/team.a", EncodeSubtree({ 1, "[team]\nweight = 1\n", "s" }));
  }

  static StoreOptions Options()
  {
    StoreOptions options;
    options.m_self = VmId("vm-1");
    options.m_region = RegionId("r");
    return options;
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    table::Commit commit;
    commit.m_puts.push_back({ aKey, aValue });
    m_table.Apply(commit);
  }

  /// Carries out table effects at once until there are none.
  void Answer(Effects aEffects)
  {
    while (!aEffects.empty()) {
      Effects next;
      for (const Effect& effect : aEffects) {
        Effects more;
        if (const auto* commit = std::get_if<CommitEffect>(&effect)) {
          const auto result = m_table.Apply(commit->m_commit);
          more = m_store.OnCommit(m_now, commit->m_operation, result);
        } else if (const auto* read = std::get_if<ReadEffect>(&effect)) {
          more =
            m_store.OnRead(m_now, read->m_operation, m_table.Get(read->m_read));
        } else if (const auto* done = std::get_if<ChangeDone>(&effect)) {
          m_done.push_back(*done);
        }
        next.insert(next.end(), more.begin(), more.end());
      }
      aEffects = std::move(next);
    }
  }

  void Advance(Duration aTime)
  {
    const Time end = m_now + aTime;
    while (m_now < end) {
      m_now += milliseconds(100);
      Answer(m_store.Tick(m_now));
    }
  }

  void Begin()
  {
    Answer(m_store.Start(m_now, {}));
    Advance(seconds(1));
  }

  ChangeRequest Weight(SettingsVersion aExpected, const std::string& aWeight)
  {
    ChangeRequest request;
    request.m_ticket = ++m_ticket;
    request.m_subtree = "team.a";
    request.m_expected = aExpected;
    request.m_text = "[team]\nweight = " + aWeight + "\n";
    request.m_deadline = m_now + seconds(5);
    return request;
  }

  table::MemoryTable m_table;
  SettingsStore m_store;
  Time m_now = Time() + seconds(50);
  Ticket m_ticket = 0;
  std::vector<ChangeDone> m_done;
};

} // namespace

TEST_F(StoreTest, AcceptedChangeIsInForceAtOnceWhereItWasMade)
{
  Begin();
  ASSERT_TRUE(m_store.Ready());
  Answer(m_store.Change(m_now, Weight(1, "2.5")));
  ASSERT_EQ(m_done.size(), 1U);
  EXPECT_FALSE(m_done[0].m_error);
  EXPECT_EQ(m_done[0].m_version, 2U);
  EXPECT_EQ(m_store.Tree().Team(TeamId("a"))->m_weight, 2.5);
}

TEST_F(StoreTest, BadTextIsRefusedWithItsPlaceAndChangesNothing)
{
  Begin();
  const auto rows = m_table.AllRows();
  Answer(m_store.Change(m_now, Weight(1, "heavy")));
  ASSERT_EQ(m_done.size(), 1U);
  ASSERT_EQ(m_done[0].m_faults.size(), 1U);
  EXPECT_EQ(m_done[0].m_faults[0].m_line, 2);
  EXPECT_EQ(m_done[0].m_error->m_code, ErrorCode::BadInput);
  EXPECT_EQ(m_table.AllRows(), rows);
}

TEST_F(StoreTest, OldVersionIsRefused)
{
  Begin();
  Answer(m_store.Change(m_now, Weight(1, "2")));
  Answer(m_store.Change(m_now, Weight(1, "3")));
  ASSERT_EQ(m_done.size(), 2U);
  EXPECT_EQ(m_done[1].m_error->m_code, ErrorCode::Conflict);
  EXPECT_EQ(m_done[1].m_error->m_verdict, Verdict::NotRun);
}

TEST_F(StoreTest, BadSubtreeHoldsUpNeitherTheOthersNorTheFreshness)
{
  IndexRow index{ 4, { { "system", 1 }, { "team.a", 2 }, { "team.b", 1 } } };
  Put("settings/index", EncodeIndex(index));
  Put("settings/team.a", "not JSON");
  Put("settings/team.b", EncodeSubtree({ 1, "[team]\nweight = 9\n", "s" }));
  Begin();
  EXPECT_TRUE(m_store.KeysUsable(m_now));
  EXPECT_EQ(m_store.Tree().Team(TeamId("b"))->m_weight, 9);
  EXPECT_EQ(m_store.BadSubtrees(), std::vector<std::string>{ "team.a" });
  Answer(m_store.Change(m_now, Weight(2, "2")));
  ASSERT_EQ(m_done.size(), 1U);
  EXPECT_FALSE(m_done[0].m_error);
  EXPECT_TRUE(m_store.BadSubtrees().empty());
}

TEST_F(StoreTest, UnreadableVersionStopsTheKeysOfItsTeam)
{
  const std::string digest = leaf::try_handle_all(
    [] { return DigestOf("secret"); }, [] { return std::string(); });
  Put("settings/team.a",
      EncodeSubtree({ 1, "[team]\nkey.k1 = " + digest + "\n", "s" }));
  Begin();
  const auto code = [&] {
    return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(
          Authenticator(m_store).Authenticate(m_now, "lwk.a.k1.secret", ""));
        return std::string("taken");
      },
      [](const Error& aError) { return std::string(NameOf(aError.m_code)); },
      [] { return std::string(); });
  };
  EXPECT_EQ(code(), "taken");
  Put("settings/index",
      EncodeIndex({ 3, { { "system", 1 }, { "team.a", 2 } } }));
  Put("settings/team.a", EncodeSubtree({ 2, "[team]\nkey.k1 = ?\n", "s" }));
  Advance(seconds(2));
  EXPECT_TRUE(m_store.KeysUsable(m_now));
  EXPECT_EQ(code(), "stale_settings");
}

TEST_F(StoreTest, UnknownOutcomeIsAnsweredAsMayHaveRun)
{
  Begin();
  ChangeRequest request = Weight(1, "2");
  for (const Effect& effect : m_store.Change(m_now, request)) {
    if (const auto* read = std::get_if<ReadEffect>(&effect)) {
      // The commit that follows is never answered.
      m_store.OnRead(m_now, read->m_operation, m_table.Get(read->m_read));
    }
  }
  Advance(seconds(6));
  ASSERT_EQ(m_done.size(), 1U);
  EXPECT_EQ(m_done[0].m_error->m_verdict, Verdict::MayHaveRun);
}

TEST_F(StoreTest, PromiseHoldsBackAnAcceptance)
{
  Begin();
  const Effects effects = m_store.Change(m_now, Weight(1, "2"));
  m_store.GivePromise(m_now);
  Answer(effects);
  EXPECT_TRUE(m_done.empty());
  Advance(milliseconds(2900));
  EXPECT_TRUE(m_done.empty());
  Advance(milliseconds(300));
  ASSERT_EQ(m_done.size(), 1U);
  EXPECT_FALSE(m_done[0].m_error);
}

TEST_F(StoreTest, KeepsTheLastTwentyVersions)
{
  Begin();
  for (SettingsVersion version = 1; version < 30; ++version) {
    Answer(m_store.Change(m_now, Weight(version, std::to_string(version))));
  }
  std::size_t kept = 0;
  for (const auto& [key, row] : m_table.AllRows()) {
    kept += key.starts_with("settings-history/team.a/") ? 1 : 0;
  }
  EXPECT_EQ(kept, kKeptVersions);
  EXPECT_TRUE(m_table.AllRows().contains(HistoryKey("team.a", 30)));
}

TEST_F(StoreTest, EmptyTableServesTheDefaults)
{
  m_table = table::MemoryTable();
  Begin();
  EXPECT_TRUE(m_store.Ready());
  EXPECT_EQ(m_store.Tree().Milliseconds("limits", "idle_return_ms"),
            seconds(5));
  Answer(m_store.Change(m_now, Weight(0, "2")));
  ASSERT_EQ(m_done.size(), 1U);
  EXPECT_FALSE(m_done[0].m_error);
  EXPECT_EQ(m_store.Fleet(), 1U);
}

TEST_F(StoreTest, PromisesOfAllMembersKeepKeysUsableAndALostMemberEndsIt)
{
  const Member two{ VmId("vm-2"), 7, RegionId("r") };
  const Member three{ VmId("vm-3"), 1, RegionId("r") };
  Answer(m_store.Start(m_now, { two, three }));
  Advance(seconds(1));
  ASSERT_TRUE(m_store.KeysUsable(m_now));
  // The table is down from here on; nothing is answered.
  m_now += seconds(6);
  EXPECT_FALSE(m_store.KeysUsable(m_now));
  m_store.OnPromise(m_now, two.m_vm, 7, m_store.Known());
  EXPECT_FALSE(m_store.KeysUsable(m_now));
  m_store.OnPromise(m_now, three.m_vm, 1, m_store.Known());
  EXPECT_TRUE(m_store.KeysUsable(m_now + milliseconds(2900)));
  EXPECT_FALSE(m_store.KeysUsable(m_now + milliseconds(2950)));
  m_store.SetMembers(m_now, { two });
  EXPECT_FALSE(m_store.KeysUsable(m_now));
}

TEST_F(StoreTest, PromiseThatKnowsANewerVersionEndsTheExtension)
{
  const Member two{ VmId("vm-2"), 7, RegionId("r") };
  Answer(m_store.Start(m_now, { two }));
  Advance(seconds(1));
  m_now += seconds(6);
  m_store.OnPromise(m_now, two.m_vm, 7, m_store.Known() + 1);
  EXPECT_FALSE(m_store.KeysUsable(m_now));
}

} // namespace lacewing::settings
