/// Guards against logs that repeat themselves or show keys, metrics that grow
/// without bound, and time lines in the wrong order.
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/Timeline.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <random>

namespace lacewing::observe {

namespace {

using settings::LogFormat;
using settings::LogLevel;
using Json = nlohmann::json;

std::vector<std::string>
Lines(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  return lines;
}

Event
MakeEvent(EventKind aKind, const std::string& aJob)
{
  Event event;
  event.m_kind = aKind;
  event.m_job = JobId(aJob);
  return event;
}

} // namespace

TEST(Log, WritesOneJsonObjectPerChangeOfStateWithoutKeys)
{
  const std::string file = testing::TempDir() + "lacewing-log-test.json";
  std::filesystem::remove(file);
  {
    Log log({ LogFormat::Json, LogLevel::Info, "vm-1", file });
    EXPECT_TRUE(
      log.WriteOnChange("table", "down", LogLevel::Warn, "store", {}));
    EXPECT_FALSE(
      log.WriteOnChange("table", "down", LogLevel::Warn, "store", {}));
    EXPECT_TRUE(log.WriteOnChange("table", "up", LogLevel::Info, "store", {}));
    log.Write(LogLevel::Debug, "hidden", {});
    log.Write(LogLevel::Error,
              "leak",
              { { "key", std::string("Bearer lwk.a.k1.topsecret") },
                { "count", std::int64_t(3) },
                { "ok", false } });
    // Another user of the library's logger passes the same layout.
    LOG4CXX_ERROR(log4cxx::Logger::getLogger("lacewing.vm-1"),
                  "raw lwk.a.k1.topsecret");
  }
  const auto lines = Lines(file);
  ASSERT_EQ(lines.size(), 4U);
  const Json first = Json::parse(lines[0]);
  EXPECT_EQ(first["level"], "warn");
  EXPECT_EQ(first["process"], "vm-1");
  EXPECT_EQ(first["event"], "store");
  EXPECT_EQ(first["state"], "down");
  EXPECT_EQ(Json::parse(lines[2])["count"], 3);
  for (const std::string& line : lines) {
    EXPECT_EQ(line.find("topsecret"), std::string::npos) << line;
  }
}

/// Load pattern: a leader that starts 800 tasks a second. Lines about these
/// left no room for those that told that the leader had changed.
TEST(Log, LinesAboutRequestsLeaveRoomForTheOthers)
{
  const std::string file = testing::TempDir() + "lacewing-log-bound.json";
  std::filesystem::remove(file);
  constexpr int kBound = 40;
  constexpr int kStarts = 500;
  {
    LogOptions options{ LogFormat::Json, LogLevel::Info, "vm-1", file };
    options.m_linesPerSecond = kBound;
    Log log(options);
    for (int number = 0; number < kStarts; ++number) {
      log.Write(LogLevel::Info, "start", { { "request", std::string("j") } });
    }
    log.Write(LogLevel::Info, "leader_ends", {});
  }
  const std::vector<std::string> lines = Lines(file);
  EXPECT_LT(lines.size(), static_cast<std::size_t>(kStarts) / 2);
  ASSERT_FALSE(lines.empty());
  EXPECT_EQ(Json::parse(lines.back()).at("event"), "leader_ends");
}

TEST(Log, TextFormatHasTheSameFields)
{
  const std::string line =
    FormatLine({ LogFormat::Text, LogLevel::Info, "vm-1", "" },
               1'000'000'500'000,
               LogLevel::Info,
               "claimed",
               { { "slice", std::string("a/1") } });
  EXPECT_EQ(line, "1970-01-12T13:46:40.500Z info vm-1 claimed slice=\"a/1\"");
}

TEST(Metrics, CountsAndSerializes)
{
  Metrics metrics;
  metrics.Add(Metric::Requests, { "not_run", "queue_full" });
  metrics.Add(Metric::Requests, { "not_run", "queue_full" }, 2);
  metrics.Set(Metric::RequestQueueLength, 7, { "urgent" });
  metrics.Observe(Metric::WaitingSeconds, 0.2, { "urgent" });
  EXPECT_EQ(metrics.Value(Metric::Requests, { "not_run", "queue_full" }), 3);
  const std::string text = metrics.Text();
  EXPECT_NE(text.find("lacewing_requests_total{"), std::string::npos);
  EXPECT_NE(text.find("lacewing_request_queue_length{class=\"urgent\"} 7"),
            std::string::npos);
  EXPECT_NE(text.find("lacewing_waiting_seconds_bucket"), std::string::npos);
}

TEST(Metrics, LabelSetsAreBounded)
{
  Metrics metrics;
  for (std::size_t i = 0; i < kMaxLabelSets + 50; ++i) {
    metrics.Add(Metric::TableReads, { std::to_string(i) });
  }
  EXPECT_EQ(metrics.Value(Metric::MetricSetsDropped), 50);
}

TEST(HybridClock, StampsFollowCauseAndEffect)
{
  HybridClock slow;
  HybridClock fast;
  const HybridStamp sent = fast.Next(5'000'000);
  const HybridStamp received = slow.Receive(sent, 1'000'000);
  EXPECT_GT(received, sent);
  EXPECT_GT(slow.Next(1'000'001), received);
  EXPECT_EQ(slow.Next(6'000'000), (HybridStamp{ 6'000'000, 0 }));
  slow.Receive({ 900'000'000'000, 0 }, 6'000'001);
  EXPECT_EQ(slow.Ignored(), 1U);
  EXPECT_LT(slow.Next(6'000'002).m_micros, 7'000'000);
}

TEST(Timeline, RingIsBoundedInBytesAndFilters)
{
  constexpr std::size_t kBytes = 20'000;
  Timeline timeline("vm-1", kBytes);
  for (int i = 0; i < 500; ++i) {
    Event event = MakeEvent(EventKind::TaskStarted, i % 2 == 0 ? "j0" : "j1");
    event.m_detail = std::string(static_cast<std::size_t>(i), 'x');
    timeline.Add(i, event);
    ASSERT_LE(timeline.Bytes(), kBytes);
  }
  EXPECT_EQ(timeline.Dropped() + timeline.size(), 500U);
  EventFilter filter;
  filter.m_job = JobId("j1");
  const auto found = timeline.Find(filter);
  EXPECT_FALSE(found.empty());
  for (const Event& event : found) {
    EXPECT_EQ(event.m_job.Value(), "j1");
  }
  filter.m_process = "vm-2";
  EXPECT_TRUE(timeline.Find(filter).empty());
}

TEST(Timeline, MergeOrdersCauseBeforeEffectWhateverTheClocks)
{
  Timeline front("front", 10'000);
  Timeline owner("owner", 10'000);
  const auto sent =
    front.Add(5'000'000, MakeEvent(EventKind::RequestForwarded, "j"));
  owner.Receive(sent, 1'000);
  owner.Add(1'001, MakeEvent(EventKind::RequestDispatched, "j"));
  const auto parse = [](const Timeline& aTimeline) {
    return leaf::try_handle_all([&] { return ParseRing(aTimeline.ToJson({})); },
                                [] { return std::vector<Event>(); });
  };
  const auto merged =
    MergeRings({ parse(owner), parse(front), front.Find({}) });
  ASSERT_EQ(merged.size(), 2U);
  EXPECT_EQ(merged[0].m_process, "front");
  EXPECT_EQ(merged[1].m_kind, EventKind::RequestDispatched);
}

TEST(Timeline, FormatsHideKeysAndAreWellFormed)
{
  Timeline timeline("vm-1", 10'000);
  Event event = MakeEvent(EventKind::RequestRefused, "lwk.a.k1.topsecret");
  event.m_detail = "key lwk.a.k1.topsecret";
  timeline.Add(12, event);
  for (const auto& [format, name] : EnumNames<TimelineFormat>::kTable) {
    const std::string text = FormatEvents(timeline.Find({}), format);
    EXPECT_EQ(text.find("topsecret"), std::string::npos) << name;
    EXPECT_NE(text.find("request_refused"), std::string::npos) << name;
  }
  const Json trace =
    Json::parse(FormatEvents(timeline.Find({}), TimelineFormat::Chrome));
  ASSERT_EQ(trace["traceEvents"].size(), 2U);
  EXPECT_EQ(trace["traceEvents"][1]["ts"], 12);
  EXPECT_EQ(trace["traceEvents"][1]["ph"], "i");
}

} // namespace lacewing::observe
