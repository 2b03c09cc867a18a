/// Guards against fields of messages and rows that are lost, swapped or changed
/// when they are written and read back.
#include "caller/CallerRequest.h"
#include "daemon/MemberAddress.h"
#include "daemon/PeerPayloads.h"
#include "harness/DecoderFuzz.h"
#include "jobs/JobRecord.h"
#include "table/TableCodec.h"
#include "vmlist/VmList.h"
#include "worker/WorkerMessages.h"

namespace lacewing {

namespace {

/// Decodes a text in which every field has a value of its own, encodes it again
/// and expects the same JSON.
template<typename Decode, typename Encode>
void
ExpectSame(const Decode& aDecode,
           const Encode& aEncode,
           const std::string& aText)
{
  const std::string again = aEncode(DecodedOrFail(aDecode, aText));
  EXPECT_EQ(nlohmann::json::parse(again), nlohmann::json::parse(aText));
}

const std::string kPromise =
  R"({"type":"promise","round":1,"incarnation":2,"no_takeover":true,)"
  R"("no_settings":false,"settings_version":3})";
/// Packs an unpacked message.
constexpr auto kPack = [](const auto& aMessage) {
  return daemon::Pack(aMessage).m_text;
};

} // namespace

TEST(CodecRoundTrip, TableMessages)
{
  ExpectSame(
    table::DecodeCommit,
    table::EncodeCommit,
    R"({"checks":[{"key":"a","version":18446744073709551615}],)"
    R"("puts":[{"key":"b","value":"\u0000\"ü"}],"deletes":["c","d"]})");
  ExpectSame(table::DecodeRead,
             table::EncodeRead,
             R"({"keys":["a","b"],"prefixes":["c/"]})");
  ExpectSame(table::DecodeCommitResult,
             table::EncodeCommitResult,
             R"({"state":"conflict","version":9,"conflicts":["a","b"]})");
  ExpectSame(table::DecodeReadResult,
             table::EncodeReadResult,
             R"({"rows":[{"key":"a","value":"v","version":3},)"
             R"({"key":"b","value":"w","version":4}]})");
}

TEST(CodecRoundTrip, WorkerMessages)
{
  ExpectSame(
    worker::DecodeRequest,
    worker::EncodeRequest,
    R"({"slice":"s","epoch":4,"token":5,"sequence":6,"ended_seen":7,)"
    R"("commands":[{"kind":"checkpoint","job":"s.1","index":2,"attempt":3,)"
    R"("run_ms":100,"reserved":{"millicores":11,"memory_mib":12,)"
    R"("accelerators":13}}]})");
  ExpectSame(
    worker::DecodeReply,
    worker::EncodeReply,
    R"({"accepted":true,"epoch":4,"token":5,)"
    R"("capacity":{"millicores":1,"memory_mib":2,"accelerators":3},)"
    R"("running":[{"job":"s.1","index":6,"attempt":7,"throttled":true,)"
    R"("reserved":{"millicores":11,"memory_mib":12,"accelerators":13},)"
    R"("used":{"millicores":21,"memory_mib":22,"accelerators":23}}],)"
    R"("ended":[{"sequence":8,"job":"s.2","index":9,"attempt":10,)"
    R"("outcome":"lease_expired"}]})");
}

TEST(CodecRoundTrip, InventoryDeltas)
{
  ExpectSame(worker::DecodeRequest,
             worker::EncodeRequest,
             R"({"slice":"s","epoch":4,"token":5,"sequence":6,"ended_seen":7,)"
             R"("commands":[],"inventory":{"instance":8,"state":9}})");
  ExpectSame(
    worker::DecodeReply,
    worker::EncodeReply,
    R"({"accepted":true,"epoch":4,"token":5,"ended":[],)"
    R"("inventory":{"instance":18446744073709551615,"state":9,"base":8,)"
    R"("count":7,"hash":18446744073709551614,)"
    R"("removed":[{"job":"s.1","index":3}],)"
    R"("added":[{"job":"s.2","index":6,"attempt":7,)"
    R"("reserved":{"millicores":11,"memory_mib":12},)"
    R"("used":{"millicores":21,"memory_mib":22,"accelerators":23}}],)"
    R"("changed":[{"job":"s.3","index":6,"attempt":7,"throttled":true,)"
    R"("reserved":{"millicores":31,"memory_mib":32,"accelerators":33},)"
    R"("used":{"millicores":41,"memory_mib":42}}]}})");
}

TEST(CodecRoundTrip, VmList)
{
  ExpectSame(vmlist::DecodeVms,
             vmlist::EncodeVms,
             R"({"vms":[{"vm":"e-1","kind":"endpoint","state":"leaving",)"
             R"("address":"[::1]:80","region":"r","domain":"d","rack":"k",)"
             R"("millicores":1,"memory_mib":2,"accelerators":3,"service":"s",)"
             R"("slots":8,"connections":64}]})");
}

TEST(CodecRoundTrip, JobsAndRows)
{
  const std::string spec =
    R"({"name":"n","kind":"gang","urgent":false,"patient":true,)"
    R"("at_most_once":true,"tasks":10000,"millicores":10,"memory_mib":20,)"
    R"("accelerators":1,"run_ms":500,"region":"r"})";
  ExpectSame(caller::DecodeJobSpec, caller::EncodeJobSpec, spec);
  const auto decode = [](const std::string& aText) {
    return jobs::DecodeRecord(JobId("s.1"), aText);
  };
  ExpectSame(decode,
             jobs::EncodeRecord,
             R"({"team":"t","spec":)" + spec +
               R"(,"ending":"may_have_run","cancel_requested":true,)"
               R"("marked":[[0,1],[3,3],[9999,9999]],"succeeded":[[0,9999]],)"
               R"("ended_us":7,"submission":"submission/t/k","nonce":"x"})");
  // The field is left out of rows that a former version has written.
  ExpectSame(decode,
             jobs::EncodeRecord,
             R"({"team":"t","spec":)" + spec +
               R"(,"ending":"open","cancel_requested":false,"marked":[],)"
               R"("succeeded":[],"ended_us":0,"nonce":"x"})");
}

TEST(CodecRoundTrip, JobIdNamesItsSlice)
{
  const SliceId slice("workers-lombardy.a-0");
  const JobId job = jobs::MakeJobId(slice, 0xABCULL);
  EXPECT_EQ(job.Value(), "workers-lombardy.a-0.0000000000000abc");
  EXPECT_EQ(jobs::SliceOf(job), slice);
  EXPECT_EQ(jobs::SliceOf(JobId("nodot")), SliceId());
  EXPECT_TRUE(jobs::JobRow(job).starts_with(jobs::JobRowPrefix(slice)));
}

TEST(CodecRoundTrip, PeerMessages)
{
  for (const std::string& text : std::vector<std::string>{
         R"({"type":"hello","incarnation":1,"region":"r"})",
         R"({"type":"hello_answer","incarnation":1,"settings_version":2})",
         R"({"type":"outage_probe","round":1,"incarnation":2})",
         kPromise,
         R"({"type":"relay_renewal","version":1,"row":"x"})",
         R"({"type":"relay_answer","version":1,"row":"x"})",
         R"({"type":"slice_released","slice":"s"})" }) {
    ExpectSame(daemon::UnpackOwnership, kPack, text);
  }
  for (const std::string text :
       { R"({"type":"heartbeat","incarnation":1,"number":2,)"
         R"("echo_incarnation":3,"echo_number":4,"fleet":5,"known":6,)"
         R"("age_us":7})",
         R"({"type":"heartbeat","incarnation":1,"number":2,)"
         R"("echo_incarnation":3,"echo_number":4,"fleet":5,"known":6})",
         R"({"type":"rows_request","fleet":1,"have":{"system":2}})",
         R"({"type":"rows_answer","rows":{"a":{"value":"v","version":1}}})" }) {
    ExpectSame(daemon::UnpackSettings, kPack, text);
  }
}

TEST(CodecRoundTrip, Addresses)
{
  for (const std::string text : { "127.0.0.1:1", "[fd00::1]:65535" }) {
    EXPECT_EQ(DecodedOrFail(net::ParseAddress, text).ToString(), text);
  }
  for (const std::string text :
       { "127.0.0.1:7400,[::1]:7401", "10.0.0.1:1,[::1]:7401,10.9.0.1:2" }) {
    EXPECT_EQ(daemon::EncodeAddress(DecodedOrFail(daemon::DecodeAddress, text)),
              text);
  }
}

TEST(CodecRoundTrip, HeadersOfACaller)
{
  net::HttpRequest request;
  request.m_headers = { { "authorization", "Bearer lwk.t.k.s" },
                        { "x-queue", "night" },
                        { "idempotency-key", "lot-1" },
                        { "x-request-class", "urgent" },
                        { "x-deadline-ms", "30000" } };
  const auto context = DecodedOrFail(
    [&](const std::string&) { return caller::ParseContext(request); }, "");
  EXPECT_EQ(context.m_key, "lwk.t.k.s");
  EXPECT_EQ(context.m_queue, "night");
  EXPECT_EQ(context.m_idempotencyKey, "lot-1");
  EXPECT_EQ(context.m_class, RequestClass::Urgent);
  EXPECT_EQ(context.m_deadline, seconds(30));
}

} // namespace lacewing
