/// Guards against fields of the platform's formats that are decoded wrongly,
/// and against malformed documents that are accepted as workers, jobs or
/// settings.
#include "core/TryDecode.h"
#include "platform/Documents.h"
#include "platform/InventoryDecoder.h"
#include "platform/SettingsFile.h"
#include "platform/TableStore.h"
#include "platform/TaskName.h"
#include "platform/WorkerClient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::platform {

namespace {

using Json = nlohmann::json;

Json
WorkerEntry()
{
  return { { "service", "s" },
           { "address", "10.0.0.1:80" },
           { "zone", "z" },
           { "state", "ready" },
           { "labels", { "a", "r1-3" } },
           { "born", 1234 },
           { "capacity", { { "cpu", 16'000 }, { "mem_mb", 32'768 } } } };
}

std::optional<pool::WorkerInfo>
ReadWorker(const Json& aEntry)
{
  return TryDecode<pool::WorkerInfo>(
    [&] { return DecodeWorker("i-1", aEntry.dump()); });
}

TEST(PlatformFormats, WorkerEntryHasCapacityRackAndIncarnation)
{
  const auto worker = ReadWorker(WorkerEntry());
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker->m_capacity.m_millicores, 16'000);
  EXPECT_EQ(worker->m_capacity.m_memoryMib, 32'768);
  EXPECT_EQ(worker->m_rack, "r1-3");
  EXPECT_EQ(worker->m_incarnation, 1234);
  EXPECT_FALSE(worker->m_draining);
}

TEST(PlatformFormats, MalformedWorkerEntriesAreRejected)
{
  for (const char* field :
       { "service", "address", "state", "labels", "capacity" }) {
    Json missing = WorkerEntry();
    missing.erase(field);
    EXPECT_FALSE(ReadWorker(missing).has_value()) << field;
    Json otherType = WorkerEntry();
    otherType[field] = 7;
    EXPECT_FALSE(ReadWorker(otherType).has_value()) << field;
  }
  Json unknownState = WorkerEntry();
  unknownState["state"] = "sleeping";
  EXPECT_FALSE(ReadWorker(unknownState).has_value());
  EXPECT_FALSE(TryDecode<pool::WorkerInfo>([] {
                 return DecodeWorker("i-1", "\xff\xfe not JSON");
               }).has_value());
}

TEST(PlatformFormats, JobHasItsStepsAndTheirRequirements)
{
  const auto job = TryDecode<pool::Job>([] {
    return DecodeJobBody(
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,
        "estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
        "mem_mb":1024,"after":[0],"checkpointing":true,"gang":true,
        "max_per_server":2,"required_label":"b"}]})");
  });
  ASSERT_TRUE(job.has_value());
  ASSERT_EQ(job->m_steps.size(), 2U);
  EXPECT_EQ(job->m_steps[0].m_tasks, 4U);
  EXPECT_EQ(job->m_steps[0].m_preferredRack, "r1-3");
  EXPECT_EQ(job->m_steps[0].m_estimate, milliseconds(900));
  EXPECT_EQ(job->m_steps[1].m_after, std::vector<std::uint32_t>{ 0 });
  EXPECT_TRUE(job->m_steps[1].m_gang);
  EXPECT_TRUE(job->m_steps[1].m_checkpointing);
  EXPECT_EQ(job->m_steps[1].m_maxPerWorker, 2U);
  EXPECT_EQ(job->m_steps[1].m_requiredLabel, "b");
}

TEST(PlatformFormats, InvalidJobsAreRejected)
{
  for (const char* body :
       { "",
         "{}",
         R"({"spec":"x","steps":[]})",
         R"({"spec":"x","steps":[{"count":0}]})",
         R"({"spec":"x","steps":[{"count":1,"cpu":-1}]})",
         R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
         R"({"spec":"x","steps":[{"count":1,"long_running":true}]})",
         R"({"spec":"x","repeat_count":2,"steps":[{"count":1}]})" }) {
    EXPECT_FALSE(
      TryDecode<pool::Job>([&] { return DecodeJobBody(body); }).has_value())
      << body;
  }
}

/// The rows of an accepted job could be larger than the store takes, and its
/// tasks larger than the leader's memory: the progress of all jobs in the same
/// transaction was refused, and each leader that loaded the job ended.
TEST(PlatformFormats, JobsWithMoreTasksThanARowHoldsAreRejected)
{
  const auto accepts = [](const std::string& aSteps) {
    return TryDecode<pool::Job>([&] {
             return DecodeJobBody(R"({"spec":"x","steps":[)" + aSteps + "]}");
           })
      .has_value();
  };
  EXPECT_TRUE(accepts(R"({"count":600},{"count":400})"));
  EXPECT_FALSE(accepts(R"({"count":600},{"count":401})"));
  EXPECT_FALSE(accepts(R"({"count":100000})"));
  EXPECT_FALSE(accepts(R"({"count":4294967295},{"count":2})"));
}

/// An estimate that does not fit the clock's type became a time in the past or
/// the far future, and its job went before or after all others.
TEST(PlatformFormats, ImpossibleEstimatesAreRejected)
{
  const auto accepts = [](const std::string& aEstimate) {
    return TryDecode<pool::Job>([&] {
             return DecodeJobBody(
               R"({"spec":"x","steps":[{"count":1,"estimate_ms":)" + aEstimate +
               "}]}");
           })
      .has_value();
  };
  EXPECT_TRUE(accepts("0"));
  EXPECT_TRUE(accepts("86400000"));
  EXPECT_FALSE(accepts("-1"));
  EXPECT_FALSE(accepts("1e300"));
  EXPECT_FALSE(accepts("1e16"));
}

TEST(PlatformFormats, DesiredStateHasQueuesTeamsAndAdvice)
{
  const auto config = TryDecode<pool::PoolConfig>([] {
    return DecodeConfig(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
        "service":"s","priority":1,"attempts":4,"slack_factor":2.2,
        "target_runtime_ms":1200,"advice":{"decide_ms":450.0,"each_ms":6.4,
        "valid_ms":2000},"public":false}],"services":[{"name":"s",
        "admission_check":true}],"limits":{"max_body_bytes":1000},
        "tenants":[{"name":"t","api_keys":["k"],"weight":30,
        "max_count":{"cpu":100,"mem_mb":200,"gpu":0}}]})");
  });
  ASSERT_TRUE(config.has_value());
  const pool::QueueRule* queue = pool::FindQueue(*config, "h:80", "/p/x");
  ASSERT_NE(queue, nullptr);
  EXPECT_EQ(queue->m_attempts, 4U);
  EXPECT_EQ(queue->m_advice->m_each, microseconds(6400));
  EXPECT_EQ(pool::FindQueue(*config, "h", "/q/"), nullptr);
  ASSERT_NE(pool::FindTeamByKey(*config, "k"), nullptr);
  EXPECT_EQ(pool::FindTeamByKey(*config, "k")->m_limit.m_millicores, 100);
  EXPECT_EQ(pool::FindTeamByKey(*config, ""), nullptr);
  EXPECT_TRUE(config->m_services[0].m_checksCapacity);
  EXPECT_EQ(config->m_maxBodyBytes, 1000U);
}

TEST(PlatformFormats, InventoriesHaveRunsAndEnds)
{
  const auto inventory = TryDecode<pool::Inventory>([] {
    return DecodeInventory(
      R"({"clock_ms":482113,"born":5,"running":[["ab.0.1.17",2,"c",41,900]],
        "ended":[[58,"ab.0.1.9",1,"lapsed",""]]})");
  });
  ASSERT_TRUE(inventory.has_value());
  EXPECT_EQ(inventory->m_clockMs, 482'113);
  EXPECT_EQ(inventory->m_incarnation, 5);
  EXPECT_EQ(inventory->m_running[0].m_task,
            (pool::TaskRef{ JobId("ab"), 1, 17 }));
  EXPECT_EQ(inventory->m_running[0].m_percent, 41);
  EXPECT_EQ(inventory->m_ended[0].m_how, pool::RunEnd::Lapsed);
  EXPECT_FALSE(TryDecode<pool::Inventory>([] {
                 return DecodeInventory(
                   R"({"clock_ms":1,"running":[["x",1,"",0]],"ended":[]})");
               }).has_value());
}

/// Guards against a malformed inventory that is taken for one without runs, and
/// against errors that do not say what is wrong.
TEST(PlatformFormats, MalformedInventoriesNameTheField)
{
  const auto errorOf = [](const std::string& aBody) {
    return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(inventory, DecodeInventory(aBody));
        return "decoded with " + std::to_string(inventory.m_running.size());
      },
      [](const Error& aError) { return aError.m_message; },
      [] { return std::string("other error"); });
  };
  for (const auto& [body, part] : {
         std::pair{ R"({"running":[],"ended":[]})", "'clock_ms'" },
         std::pair{ R"({"clock_ms":1,"ended":[]})", "'running'" },
         std::pair{ R"({"clock_ms":1,"running":null,"ended":[]})",
                    "'running'" },
         std::pair{ R"({"clock_ms":1,"running":[]})", "'ended'" },
         std::pair{ R"({"clock_ms":"1","running":[],"ended":[]})",
                    "'clock_ms'" },
         std::pair{ R"({"clock_ms":1,"born":-1,"running":[],"ended":[]})",
                    "'born': -1 is out of range" },
         std::pair{ R"({"clock_ms":1,"running":[["a.0.1.2",1]],"ended":[]})",
                    "too few elements" },
         std::pair{ R"({"clock_ms":1,"running":[["a.0.1.2",-1,"",0]],)"
                    R"("ended":[]})",
                    "'running'" },
         std::pair{ R"({"clock_ms":1,"running":[],)"
                    R"("ended":[[1,"a.0.1.2",1,"gone",""]]})",
                    "'gone' is no way" },
         std::pair{ R"({"clock_ms":1,"running":[],"ended":[])", "inventory" },
         std::pair{ "[]", "inventory" },
         std::pair{ "", "inventory" },
       }) {
    const std::string error = errorOf(body);
    EXPECT_NE(error.find("cannot be read"), std::string::npos) << body;
    EXPECT_NE(error.find(part), std::string::npos) << error;
  }
}

TEST(PlatformFormats, TaskNamesRoundTrip)
{
  const pool::TaskRef task{ JobId("5c0e7a21d94b36f8"), 3, 12 };
  EXPECT_EQ(ParseTaskName(TaskName(task)), task);
  for (const char* text : { "", ".", "a.1.2", "a.0.x.1", "a.0.1.", ".0.1.2" }) {
    EXPECT_FALSE(ParseTaskName(text).has_value()) << text;
  }
}

TEST(PlatformFormats, TransactionNamesTablePartAndKey)
{
  table::Commit commit;
  commit.m_checks = { { "t/p/k", 4 } };
  commit.m_puts = { { "t/p/k", "node-1" } };
  commit.m_deletes = { "t/p/old" };
  const Json body = Json::parse(EncodeTransaction(commit));
  EXPECT_EQ(body["expected_rev"][0]["ver"], 4);
  EXPECT_EQ(body["writes"][0]["part"], "p");
  EXPECT_EQ(body["writes"][0]["value"], "bm9kZS0x");
  EXPECT_EQ(body["remove"][0]["key"], "old");
}

TEST(PlatformFormats, RowsOfAnyLengthAreDecoded)
{
  for (const auto& [text, encoded] : { std::pair{ "node-1", "bm9kZS0x" },
                                       std::pair{ "node", "bm9kZQ==" },
                                       std::pair{ "nodes", "bm9kZXM=" },
                                       std::pair{ "", "" } }) {
    const Json body = {
      { "rows",
        { { { "table", "t" },
            { "part", "" },
            { "key", "k" },
            { "ver", 3 },
            { "value", encoded } } } },
      { "ver", 9 },
    };
    const auto page =
      TryDecode<PageResult>([&] { return DecodePage(body.dump()); });
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->m_read.m_rows.at("t//k").m_value, text);
    EXPECT_EQ(page->m_version, 9U);
  }
  EXPECT_FALSE(
    TryDecode<Changes>([] { return DecodeChanges("{}"); }).has_value());
}

TEST(PlatformFormats, SettingsRequireAddresses)
{
  const std::string text =
    "node: \"n\"\nzone: \"z\"\nregion: \"r\"\nnew_field: 1\n"
    "listen:\n  front: \"10.0.0.1:1\"\n  ready: \"10.0.0.1:2\"\n"
    "  control: \"10.0.0.1:3\"\n"
    "bounds:\n  grace_s: 6\n  hold_max_ms: 6000\n  status_s: 1.5\n  cancel_ms: "
    "4000\n"
    "platform:\n  address: \"10.0.0.2:1\"\nadvice: \"10.0.0.3:1\"\n";
  const auto settings =
    TryDecode<edge::EdgeSettings>([&] { return ParseSettings(text); });
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->m_peers.ToString(), "10.0.0.1:3");
  EXPECT_EQ(settings->m_statusRetention, milliseconds(1500));
  EXPECT_EQ(settings->m_cancelBound, seconds(4));
  EXPECT_TRUE(settings->m_policyService.has_value());
  EXPECT_FALSE(settings->m_relay.has_value());
  for (const char* broken : { "", "node: [", "node: x\n", "a: b: c" }) {
    EXPECT_FALSE(TryDecode<edge::EdgeSettings>([&] {
                   return ParseSettings(broken);
                 }).has_value())
      << broken;
  }
  // A daemon that listened on a port of noise would take no orders.
  const auto withRange = TryDecode<edge::EdgeSettings>([&] {
    return ParseSettings(text + "\nport_range:\n  - 7420\n  - 7435\n");
  });
  ASSERT_TRUE(withRange.has_value() && withRange->m_relay.has_value());
  EXPECT_EQ(withRange->m_relay->ToString(), "10.0.0.1:7420");
  EXPECT_FALSE(TryDecode<edge::EdgeSettings>([&] {
                 return ParseSettings(text + "\nport_range:\n  - 99999\n");
               }).has_value());
}

} // namespace

} // namespace lacewing::platform
