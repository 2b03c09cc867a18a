/// Guards against messages of the platform, workers and peers that end the
/// process, are taken for valid with a wrong value, or are refused without
/// naming it.
#include "daemon/MemberAddress.h"
#include "daemon/PeerPayloads.h"
#include "harness/DecoderFuzz.h"
#include "table/TableCodec.h"
#include "vmlist/VmList.h"
#include "worker/WorkerMessages.h"

namespace lacewing {

namespace {

using nlohmann::json;

const std::string kCommit =
  R"({"checks":[{"key":"a","version":3}],"puts":[{"key":"a","value":"v"}],)"
  R"("deletes":["b"]})";
const std::string kRead = R"({"keys":["a"],"prefixes":["b/"]})";
const std::string kReadOfPage =
  R"({"keys":[],"prefixes":["b/"],"after":"b/1","limit":5})";
const std::string kCommitResult =
  R"({"state":"conflict","version":9,"conflicts":["a"]})";
const std::string kReadResult =
  R"({"rows":[{"key":"a","value":"v","version":3}]})";
const std::string kRequest =
  R"({"slice":"s","epoch":4,"token":5,"sequence":6,"ended_seen":7,)"
  R"("commands":[{"kind":"start","job":"s.1","index":2,"attempt":1,)"
  R"("run_ms":100,)"
  R"("reserved":{"millicores":1,"memory_mib":2,"accelerators":3}}]})";
const std::string kReply =
  R"({"accepted":true,"epoch":4,"token":5,)"
  R"("capacity":{"millicores":1,"memory_mib":2,"accelerators":3},)"
  R"("running":[{"job":"s.1","index":0,"attempt":1,"throttled":false,)"
  R"("reserved":{"millicores":1,"memory_mib":2,"accelerators":3},)"
  R"("used":{"millicores":1,"memory_mib":2,"accelerators":3}}],)"
  R"("ended":[{"sequence":1,"job":"s.2","index":0,"attempt":1,)"
  R"("outcome":"failed"}]})";
const std::string kDeltaRequest =
  R"({"slice":"s","epoch":4,"token":5,"sequence":6,"ended_seen":7,)"
  R"("commands":[],"inventory":{"instance":8,"state":9}})";
const std::string kTask = R"({"job":"s.1","index":0,"attempt":1,)"
                          R"("reserved":{"millicores":1,"memory_mib":2},)"
                          R"("used":{"millicores":1,"memory_mib":2}})";
const std::string kDelta =
  R"({"accepted":true,"epoch":4,"token":5,"ended":[],)"
  R"("inventory":{"instance":8,"state":9,"base":7,"count":2,"hash":1,)"
  R"("removed":[{"job":"s.1","index":3}],"added":[)" +
  kTask + R"(],"changed":[)" + kTask + "]}}";
const std::string kWhole =
  R"({"accepted":true,"epoch":4,"token":5,"ended":[],)"
  R"("capacity":{"millicores":1,"memory_mib":2,"accelerators":3},)"
  R"("inventory":{"instance":8,"state":9},"running":[)" +
  kTask + "]}";
const std::string kVms =
  R"({"vms":[{"vm":"e-1","kind":"endpoint","state":"live",)"
  R"("address":"127.0.0.1:80","region":"r","domain":"d","rack":"k",)"
  R"("millicores":1,"memory_mib":2,"accelerators":0,"service":"s",)"
  R"("slots":8,"connections":64}]})";
const std::string kHeartbeat =
  R"({"type":"heartbeat","incarnation":1,"number":2,"echo_incarnation":3,)"
  R"("echo_number":4,"fleet":5,"known":6,"age_us":7})";
const std::string kRowsRequest =
  R"({"type":"rows_request","fleet":1,"have":{"system":2}})";
const std::string kRowsAnswer =
  R"({"type":"rows_answer","rows":{"a":{"value":"v","version":1}}})";
const std::string kPromise =
  R"({"type":"promise","round":1,"incarnation":2,"no_takeover":true,)"
  R"("no_settings":false,"settings_version":3})";
const std::vector<std::string> kOwnership = {
  R"({"type":"hello","incarnation":1,"region":"r"})",
  R"({"type":"hello_answer","incarnation":1,"settings_version":2})",
  R"({"type":"outage_probe","round":1,"incarnation":2})",
  kPromise,
  R"({"type":"relay_renewal","version":1,"row":"x"})",
  R"({"type":"relay_answer","version":1,"row":"x"})",
  R"({"type":"slice_released","slice":"s"})"
};

} // namespace

TEST(MessageDecoders, AnyInputGivesAValueOrATypedError)
{
  FuzzJsonDecoder(table::DecodeCommit, kCommit);
  FuzzJsonDecoder(table::DecodeRead, kRead);
  FuzzJsonDecoder(table::DecodeRead, kReadOfPage);
  FuzzJsonDecoder(table::DecodeCommitResult, kCommitResult);
  FuzzJsonDecoder(table::DecodeReadResult, kReadResult);
  FuzzJsonDecoder(worker::DecodeRequest, kRequest);
  FuzzJsonDecoder(worker::DecodeReply, kReply);
  FuzzJsonDecoder(worker::DecodeRequest, kDeltaRequest);
  FuzzJsonDecoder(worker::DecodeReply, kDelta);
  FuzzJsonDecoder(worker::DecodeReply, kWhole);
  FuzzJsonDecoder(vmlist::DecodeVms, kVms);
  for (const std::string& text : { kHeartbeat, kRowsRequest, kRowsAnswer }) {
    FuzzJsonDecoder(daemon::UnpackSettings, text);
  }
  for (const std::string& text : kOwnership) {
    FuzzJsonDecoder(daemon::UnpackOwnership, text);
  }
  FuzzDecoder(net::ParseAddress, "[::1]:7400");
  FuzzDecoder(daemon::DecodeAddress, "127.0.0.1:7400,[::1]:7401");
}

TEST(MessageDecoders, TableErrorsNameTheValue)
{
  ExpectNamed(table::DecodeCommit, kCommit, "/checks/0/version", -1, "-1");
  ExpectNamed(table::DecodeCommit, kCommit, "/checks", nullptr, "'checks'");
  ExpectNamed(table::DecodeRead, kRead, "/keys", 5, "'keys' is 5");
  ExpectNamed(table::DecodeRead, kReadOfPage, "/limit", 0, "'limit' is 0");
  ExpectNamed(table::DecodeRead, kReadOfPage, "/after", 7, "'after' is 7");
  ExpectNamed(
    table::DecodeCommitResult, kCommitResult, "/state", "done", "\"done\"");
  ExpectNamed(table::DecodeCommitResult, kCommitResult, "/version", 0.5, "0.5");
  // Taken as an empty list, this would say that no row exists.
  ExpectNamed(table::DecodeReadResult, kReadResult, "/rows", nullptr, "'rows'");
}

TEST(MessageDecoders, WorkerErrorsNameTheValue)
{
  ExpectNamed(worker::DecodeRequest, kRequest, "/epoch", -4, "'epoch' is -4");
  ExpectNamed(worker::DecodeRequest,
              kRequest,
              "/commands/0/index",
              4294967296,
              "4294967296");
  ExpectNamed(
    worker::DecodeRequest, kRequest, "/commands/0/kind", "fly", "'fly'");
  ExpectNamed(
    worker::DecodeReply, kReply, "/capacity/millicores", -1, "'millicores'");
  ExpectNamed(worker::DecodeReply, kReply, "/token", 1e300, "'token'");
  ExpectNamed(worker::DecodeReply, kReply, "/running", nullptr, "'running'");
}

TEST(MessageDecoders, InventoryErrorsNameTheValue)
{
  const auto reply = worker::DecodeReply;
  ExpectNamed(worker::DecodeRequest,
              kDeltaRequest,
              "/inventory/state",
              -9,
              "'state' is -9");
  ExpectNamed(
    worker::DecodeRequest, kDeltaRequest, "/inventory", 1, "'inventory' is 1");
  // Taken as no base, this would make an empty inventory of a delta.
  ExpectNamed(reply, kDelta, "/inventory/base", nullptr, "'base'");
  ExpectNamed(reply, kDelta, "/inventory/base", 10, "'base' is 10");
  ExpectNamed(reply, kDelta, "/inventory/instance", 0, "'instance' is 0");
  ExpectNamed(reply, kDelta, "/inventory/hash", 0.5, "'hash' is 0.5");
  ExpectNamed(reply, kDelta, "/inventory/removed", nullptr, "'removed'");
  ExpectNamed(reply, kDelta, "/running", json::array(), "'running'");
  ExpectNamed(reply, kDelta, "/capacity", json::object(), "'capacity'");
  ExpectNamed(reply, kWhole, "/inventory/hash", 1, "'hash' is 1");
  ExpectNamed(reply, kWhole, "/running/0/throttled", 1, "'throttled' is 1");
  // The short form of a task is taken only in a reply that names a state.
  ExpectNamed(reply, kReply, "/running/0", json::parse(kTask), "accelerators");
}

TEST(MessageDecoders, VmListErrorsNameTheValue)
{
  // Taken as an empty list, this would say that every VM is gone.
  ExpectNamed(vmlist::DecodeVms, kVms, "/vms", nullptr, "'vms'");
  ExpectNamed(vmlist::DecodeVms, kVms, "/vms/0/slots", -8, "'slots' is -8");
  ExpectNamed(vmlist::DecodeVms, kVms, "/vms/0/memory_mib", 1e300, "1e+300");
  ExpectNamed(vmlist::DecodeVms, kVms, "/vms/0/kind", "robot", "robot");
  ExpectNamed(vmlist::DecodeVms, kVms, "/vms/0/address", "host:1", "host:1");
}

TEST(MessageDecoders, PeerErrorsNameTheValue)
{
  // A negative age would make settings look fresher than they are.
  ExpectNamed(daemon::UnpackSettings, kHeartbeat, "/age_us", -1, "'age_us'");
  ExpectNamed(
    daemon::UnpackSettings, kRowsRequest, "/have/system", -1, "have.system");
  ExpectNamed(
    daemon::UnpackSettings, kRowsAnswer, "/rows/a/version", -1, "'version'");
  ExpectNamed(
    daemon::UnpackOwnership, kOwnership[0], "/incarnation", -1, "is -1");
  ExpectNamed(daemon::UnpackOwnership, kOwnership[0], "/type", "hi", "'hi'");
}

TEST(MessageDecoders, AddressesAreRefusedByName)
{
  using namespace std::string_literals;
  for (const std::string& text : { "127.0.0.1"s,
                                   "localhost:80"s,
                                   "127.0.0.1:0"s,
                                   "127.0.0.1:65536"s,
                                   "127.0.0.1:-1"s,
                                   "127.0.0.1:80x"s,
                                   "127.0.0.1\0x:80"s,
                                   "::1:80"s,
                                   "[127.0.0.1]:80"s }) {
    EXPECT_NE(DecodeErrorOf(net::ParseAddress, text).find(text),
              std::string::npos);
  }
  EXPECT_NE(DecodeErrorOf(daemon::DecodeAddress, "1.2.3.4:5").find("1.2.3.4:5"),
            std::string::npos);
}

} // namespace lacewing
