/// Guards against evacuations that a daemon misses, keeps for ever, or loses
/// with an odd row or a truncated history.
#include "edge/ConfigWatch.h"
#include "fakes/StoreCell.h"
#include "platform/Documents.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const DomainId kFar{ "far" };
const std::string kFarRow = "op//evacuate/far";

class WatchCell : public StoreCell
{
public:
  WatchCell()
    : m_log({})
    , m_watch(
        m_loop,
        m_store,
        m_log,
        { [this](const pool::PoolConfig&) { m_knownWithConfig = m_evacuated; },
          [this](const std::set<DomainId>& aDomains) {
            m_evacuated = aDomains;
          } })
  {
    // The loop does not return while requests and responses are always ready.
    SetDelay(milliseconds(5));
  }

  void Start() { m_watch.Start(); }
  void PutConfig()
  {
    Put({ { platform::kConfigKey,
            R"({"version":1,"routes":[],"services":[]})" } });
  }
  void Remove(const std::string& aKey)
  {
    table::Commit commit;
    commit.m_deletes = { aKey };
    bool done = false;
    Store().Submit(
      commit, seconds(5), [&](const table::CommitResult&) { done = true; });
    RunUntil([&] { return done; });
  }
  bool RunUntilEvacuated(const std::set<DomainId>& aDomains)
  {
    return RunUntil([&] { return m_evacuated == aDomains; });
  }

  std::set<DomainId> m_evacuated;
  /// What was known when the configuration came into force.
  std::optional<std::set<DomainId>> m_knownWithConfig;

private:
  observe::Log m_log;
  edge::ConfigWatch m_watch;
};

/// A daemon may lead from the moment in which it has a configuration.
TEST(EdgeEvacuationWatch, IsKnownBeforeTheFirstConfiguration)
{
  WatchCell cell;
  cell.Put({ { kFarRow, "{}" } });
  cell.PutConfig();
  cell.Start();
  ASSERT_TRUE(
    cell.RunUntil([&] { return cell.m_knownWithConfig.has_value(); }));
  EXPECT_EQ(*cell.m_knownWithConfig, std::set<DomainId>{ kFar });
}

TEST(EdgeEvacuationWatch, BeginsAndEndsWithTheRow)
{
  WatchCell cell;
  cell.PutConfig();
  cell.Start();
  ASSERT_TRUE(
    cell.RunUntil([&] { return cell.m_knownWithConfig.has_value(); }));
  EXPECT_TRUE(cell.m_evacuated.empty());
  cell.Put({ { kFarRow, "{}" } });
  EXPECT_TRUE(cell.RunUntilEvacuated({ kFar }));
  cell.Put({ { "op//evacuate/near", "{}" } });
  EXPECT_TRUE(cell.RunUntilEvacuated({ kFar, DomainId("near") }));
  cell.Remove(kFarRow);
  EXPECT_TRUE(cell.RunUntilEvacuated({ DomainId("near") }));
}

TEST(EdgeEvacuationWatch, RowThatIsNoDocumentCountsAndHarmsNothing)
{
  WatchCell cell;
  cell.Put({ { kFarRow, "\xff{" }, { "op//evacuate/", "{}" } });
  cell.PutConfig();
  cell.Start();
  EXPECT_TRUE(cell.RunUntilEvacuated({ kFar }));
  EXPECT_TRUE(
    cell.RunUntil([&] { return cell.m_knownWithConfig.has_value(); }));
}

/// Without the history of changes neither the row nor its removal is seen.
TEST(EdgeEvacuationWatch, RemovalIsSeenAfterATruncatedHistory)
{
  WatchCell cell;
  cell.Put({ { kFarRow, "{}" } });
  cell.PutConfig();
  cell.Start();
  ASSERT_TRUE(cell.RunUntilEvacuated({ kFar }));
  cell.Hold("rows-feed");
  ASSERT_TRUE(cell.RunUntil([&] { return cell.Requests("rows-feed") > 0; }));
  cell.Remove(kFarRow);
  cell.ForgetHistory();
  cell.Release();
  EXPECT_TRUE(cell.RunUntilEvacuated({}));
}

} // namespace

} // namespace lacewing::fakes
