/// Guards against an entry of another writer among those of the workers that
/// ends the daemon, keeps it from reading the others, or is taken for a worker.
#include "core/TryDecode.h"
#include "fakes/LeaderCell.h"
#include "platform/Documents.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::fakes {

namespace {

using Json = nlohmann::json;

Json
Entry()
{
  return { { "service", "ledger" },
           { "address", "10.0.0.1:80" },
           { "zone", "z" },
           { "state", "ready" },
           { "labels", { "a", "r1" } },
           { "born", 1234 },
           { "capacity", { { "cpu", 1000 }, { "mem_mb", 100 } } } };
}

/// Arrays or objects inside each other.
std::string
Nested(const std::string& aOpen, const std::string& aClose)
{
  constexpr int kLevels = 10'000; // a row of the store has 64 KiB at most
  std::string text;
  for (int level = 0; level < kLevels; ++level) {
    text += aOpen;
  }
  text += "1";
  for (int level = 0; level < kLevels; ++level) {
    text += aClose;
  }
  return text;
}

/// The entry with another text as the value of a field.
std::string
With(const std::string& aField, const std::string& aValue)
{
  Json entry = Entry();
  entry.erase(aField);
  std::string text = entry.dump();
  text.pop_back();
  return text + ",\"" + aField + "\":" + aValue + "}";
}

std::vector<std::string>
OddEntries()
{
  std::vector<std::string> odd;
  for (const char* address : { "10.0.0.1:99999",
                               "10.0.0.1:-1",
                               "10.0.0.1:0",
                               "10.0.0.1:12345678901234567890",
                               "10.0.0.1",
                               "some.host:80",
                               "10.0.0.999:80" }) {
    odd.push_back(With("address", Json(address).dump()));
  }
  for (const char* number : { "-1",
                              "1.5",
                              "1e300",
                              "1e999",
                              "9223372036854775807",
                              "99999999999999999999" }) {
    odd.push_back(With("born", number));
    odd.push_back(With("capacity", std::string("{\"cpu\":") + number + "}"));
  }
  for (const char* field : { "unused", "labels", "address", "capacity" }) {
    odd.push_back(With(field, Nested("[", "]")));
    odd.push_back(With(field, Nested("{\"a\":", "}")));
  }
  odd.push_back(Nested("[", "]"));
  odd.emplace_back("\xff\xfe");
  odd.emplace_back();
  return odd;
}

TEST(OddWorkerEntries, AreNotTakenForWorkers)
{
  ASSERT_TRUE(TryDecode<pool::WorkerInfo>(
    [] { return platform::DecodeWorker("i-1", Entry().dump()); }));
  for (const std::string& entry : OddEntries()) {
    EXPECT_FALSE(TryDecode<pool::WorkerInfo>(
      [&] { return platform::DecodeWorker("i-1", entry); }))
      << entry.substr(0, 200);
  }
}

/// A port above 65535 was taken for an address, and 1e300 for the largest start
/// time, which hid all true incarnations of the worker.
TEST(OddWorkerEntries, DoNotKeepTheLeaderFromFollowingTheList)
{
  LeaderCell cell;
  int number = 0;
  for (const std::string& entry : OddEntries()) {
    cell.Put({ { "servers//odd-" + std::to_string(number++), entry } });
  }
  cell.Lead();
  ASSERT_TRUE(cell.RunUntil([&] { return cell.Leader().IsLoaded(); }));
  EXPECT_TRUE(cell.Leader().Scheduler().Workers().empty());
  number = 0;
  for (const std::string& entry : OddEntries()) {
    cell.Put({ { "servers//later-" + std::to_string(number++), entry } });
  }
  cell.Put({ { "servers//i-1", Entry().dump() } });
  EXPECT_TRUE(cell.RunUntil(
    [&] { return cell.Leader().Scheduler().Workers().size() == 1; }));
}

/// A value that is not base64 made the whole page unreadable, so that the list
/// was read again and again.
TEST(OddWorkerEntries, ValueThatIsNotBase64DoesNotHideTheOtherRows)
{
  const auto page = TryDecode<platform::PageResult>([] {
    return platform::DecodePage(
      R"({"ver":9,"rows":[
        {"table":"servers","key":"a","ver":1,"value":"not base64"},
        {"table":"servers","key":"b","ver":2,"value":7},
        {"table":"servers","key":"c","ver":3,"value":"e30="}]})");
  });
  ASSERT_TRUE(page);
  EXPECT_EQ(page->m_read.m_rows.at("servers//a").m_value, "");
  EXPECT_EQ(page->m_read.m_rows.at("servers//b").m_value, "");
  EXPECT_EQ(page->m_read.m_rows.at("servers//c").m_value, "{}");
}

/// The key after which the next page begins stood in the request as it was.
TEST(OddWorkerEntries, KeyWithSpecialCharactersCanBeRead)
{
  StoreCell cell;
  const std::string key = "servers//odd &limit=0#%1 key";
  cell.Put({ { key, "value" } });
  std::optional<platform::PageResult> page;
  cell.Store().ReadRow(
    key, seconds(2), [&](const platform::PageResult& aPage) { page = aPage; });
  ASSERT_TRUE(cell.RunUntil([&] { return page.has_value(); }));
  EXPECT_TRUE(page->m_read.m_rows.contains(key));
}

} // namespace

} // namespace lacewing::fakes
