/// Prints the sizes of messages and rows from which docs/CAPACITY.md works out
/// the traffic of each role, and the bytes of a second of heartbeats in their
/// old form and as deltas. Deterministic; takes no arguments.
#include "daemon/HeartbeatPlan.h"
#include "daemon/LoadView.h"
#include "daemon/PeerPayloads.h"
#include "jobs/JobRecord.h"
#include "ownership/MemberRow.h"
#include "ownership/SliceRow.h"
#include "peer/Http2Session.h"
#include "peer/PeerCodec.h"
#include "vmlist/VmList.h"
#include "worker/WorkerMessages.h"

#include <cstdio>
#include <deque>
#include <iostream>

namespace {

using namespace lacewing;

std::string
Numbered(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

std::size_t
HeartbeatBytes(int aSlices, int aTeams, int aActiveTeams)
{
  peer::Heartbeat beat;
  beat.m_vm = VmId("entry-100");
  beat.m_incarnation = 1'780'000'000'000'000;
  beat.m_settingsVersion = 100'000;
  for (int i = 0; i < aSlices; ++i) {
    beat.m_slices.push_back(
      { SliceId(Numbered("service-lot-ledger-lombardy-a-", i)),
        0.7,
        90'000,
        12 });
  }
  std::map<TeamId, peer::TeamUsage> usages;
  for (int i = 0; i < aTeams; ++i) {
    peer::TeamUsage& usage = usages[TeamId(Numbered("team-", i))];
    if (i < aActiveTeams) {
      usage = { {}, 250'000, 40, 9'000 };
    }
  }
  beat.m_teams = daemon::UsagesToTell(usages);
  return peer::EncodeMessage(beat).size();
}

constexpr std::uint64_t kInstance = 0xFEDCBA9876543210ULL;

worker::RunningTask
LongTask(int aIndex)
{
  worker::RunningTask task;
  task.m_task = { JobId("workers-lombardy-a-0.0123456789abcdef"),
                  static_cast<std::uint32_t>(aIndex) };
  task.m_reserved = { 2'000, 4'096, 0 };
  task.m_used = { 1'900, 4'032, 0 };
  return task;
}

worker::ControlReply
Reply()
{
  worker::ControlReply reply;
  reply.m_accepted = true;
  reply.m_epoch = 7;
  reply.m_token = 100'000;
  return reply;
}

/// Whole inventory, to an owner that knows deltas or not.
std::size_t
ReplyBytes(int aTasks, bool aDeltasKnown)
{
  worker::ControlReply reply = Reply();
  reply.m_capacity = { 32'000, 131'072, 0 };
  for (int i = 0; i < aTasks; ++i) {
    reply.m_running.push_back(LongTask(i));
  }
  if (aDeltasKnown) {
    reply.m_inventory = { { kInstance, 10'000 }, std::nullopt };
  }
  return worker::EncodeReply(reply).size();
}

std::size_t
DeltaBytes(int aChanged)
{
  worker::ControlReply reply = Reply();
  worker::InventoryDelta delta;
  delta.m_base = 10'000;
  delta.m_count = 12;
  delta.m_hash = kInstance;
  for (int i = 0; i < aChanged; ++i) {
    delta.m_changed.push_back(LongTask(i));
  }
  reply.m_inventory = { { kInstance, 10'000 }, delta };
  return worker::EncodeReply(reply).size();
}

std::size_t
VmListBytes(int aVms)
{
  std::vector<vmlist::Vm> vms;
  for (int i = 0; i < aVms; ++i) {
    vmlist::Vm vm;
    vm.m_vm = VmId(Numbered("worker-", i));
    vm.m_address = { "10.0.0.1", 7000 };
    vm.m_region = RegionId("lombardy");
    vm.m_domain = DomainId("lombardy-a");
    vm.m_rack = "rack-100";
    vm.m_capacity = { 32'000, 131'072, 0 };
    vms.push_back(vm);
  }
  return vmlist::EncodeVms(vms).size();
}

std::size_t
JobRowBytes(std::uint32_t aTasks)
{
  jobs::JobRecord record;
  record.m_id = JobId("workers-lombardy-a-0.0123456789abcdef");
  record.m_team = TeamId("team-100");
  record.m_spec.m_name = "assessment";
  record.m_spec.m_tasks = aTasks;
  record.m_nonce = "entry-1/1780000000000000/7/123456";
  for (std::uint32_t i = 0; i < aTasks; i += 2) {
    record.m_succeeded.insert(i);
  }
  return jobs::EncodeRecord(record).size();
}

std::size_t
MemberRowBytes()
{
  ownership::MemberRow row;
  row.m_state = ownership::MemberState::Active;
  row.m_address = "10.0.0.1:8081,10.0.0.1:8080";
  row.m_region = RegionId("lombardy");
  row.m_domain = DomainId("lombardy-a");
  row.m_renewals = 100'000;
  row.m_nonce = "entry-1/1780000000000000/123456";
  return ownership::EncodeMember(row).size();
}

std::size_t
SliceRowBytes()
{
  ownership::SliceRow row;
  row.m_owner = VmId("entry-100");
  row.m_epoch = 100;
  row.m_nonce = "entry-1/1780000000000000/123456";
  return ownership::EncodeSlice(row).size();
}

/// Bytes of a second, sent and received by one entry daemon as a client.
struct Traffic
{
  double m_messages = 0; ///< encoded messages sent
  double m_sent = 0;     ///< with the frames of HTTP/2
  double m_received = 0;
  double m_calls = 0;
};

/// Calls over a connection without a network, which counts its bytes.
class CountedConnection
{
public:
  void Call(const peer::PeerMessage& aRequest,
            const std::string& aReply,
            Traffic& aTotal)
  {
    const std::string bytes = peer::EncodeMessage(aRequest);
    aTotal.m_messages += static_cast<double>(bytes.size());
    aTotal.m_calls += 1;
    m_client.SubmitRequest(bytes);
    aTotal.m_sent += Move(m_client, m_server);
    for (const peer::SessionEvent& event : m_server.TakeEvents()) {
      if (event.m_kind == peer::SessionEventKind::Request) {
        m_server.SubmitReply(event.m_stream, aReply);
      }
    }
    aTotal.m_received += Move(m_server, m_client);
    aTotal.m_sent += Move(m_client, m_server);
    m_client.TakeEvents();
  }

private:
  static double Move(peer::Http2Session& aFrom, peer::Http2Session& aTo)
  {
    double bytes = 0;
    for (auto piece = aFrom.NextOutput(); !piece.empty();
         piece = aFrom.NextOutput()) {
      bytes += static_cast<double>(piece.size());
      aTo.Feed(piece);
    }
    return bytes;
  }

  peer::Http2Session m_client{ peer::SessionSide::Client, {} };
  peer::Http2Session m_server{ peer::SessionSide::Server, {} };
};

/// State of a member after a number of ticks. A quarter of its teams change
/// each second. Its slice counts as changed at every tick, which is the worst
/// case.
peer::Heartbeat
StateAt(int aTick, int aTeams)
{
  constexpr int kParts = 8; // changes come every 500 ms: an eighth each time
  constexpr int kCycle = 4;
  peer::Heartbeat state;
  state.m_vm = VmId("entry-100");
  state.m_incarnation = 1'780'000'000'000'000;
  state.m_settingsVersion = 100'000;
  const int step = aTick % kCycle;
  state.m_slices = { { SliceId("service-lot-ledger-lombardy-a-0"),
                       0.5 + 0.1 * step,
                       90'000 + 1'000 * step,
                       12 } };
  for (int i = 0; i < aTeams; ++i) {
    const int changes = (aTick + i) / kParts;
    state.m_teams.push_back({ TeamId(Numbered("team-", i)),
                              250'000 + 1'000 * (changes % kCycle),
                              40,
                              9'000 });
  }
  return state;
}

constexpr int kWarmUpTicks = 80;
constexpr int kMeasuredTicks = 120; // 60 s: two full heartbeats each

Traffic
PerSecond(Traffic aTotal)
{
  const double span =
    std::chrono::duration<double>(kMeasuredTicks * daemon::kHeartbeatTick)
      .count();
  aTotal.m_messages /= span;
  aTotal.m_sent /= span;
  aTotal.m_received /= span;
  aTotal.m_calls /= span;
  return aTotal;
}

/// The whole state to every member at every tick; empty replies.
Traffic
OldHeartbeats(int aMembers, int aTeams)
{
  std::deque<CountedConnection> links(static_cast<std::size_t>(aMembers - 1));
  Traffic total;
  for (int tick = 0; tick < kWarmUpTicks + kMeasuredTicks; ++tick) {
    total = tick == kWarmUpTicks ? Traffic() : total;
    for (CountedConnection& link : links) {
      link.Call(StateAt(tick, aTeams), {}, total);
    }
  }
  return PerSecond(total);
}

/// Deltas in 3 regions of the same size, each acknowledged before the next.
Traffic
DeltaHeartbeats(int aMembers, int aTeams)
{
  constexpr int kRegions = 3;
  std::deque<CountedConnection> links(static_cast<std::size_t>(aMembers));
  daemon::HeartbeatPlan plan;
  Traffic total;
  for (int tick = 0; tick < kWarmUpTicks + kMeasuredTicks; ++tick) {
    const Time now = Time(seconds(1)) + tick * daemon::kHeartbeatTick;
    const peer::Heartbeat state = StateAt(tick, aTeams);
    total = tick == kWarmUpTicks ? Traffic() : total;
    for (int member = 1; member < aMembers; ++member) {
      const VmId vm(Numbered("entry-", member));
      const auto beat = plan.Next(now, vm, member % kRegions == 0, state);
      if (beat) {
        const peer::HeartbeatReply reply{ beat->m_sequence, false };
        links[static_cast<std::size_t>(member)].Call(
          *beat, peer::EncodeMessage(reply), total);
        plan.OnReply({ vm, 1 }, reply);
      }
    }
  }
  return PerSecond(total);
}

/// Settings heartbeats to every member each second.
Traffic
SettingsHeartbeats(int aMembers)
{
  std::deque<CountedConnection> links(static_cast<std::size_t>(aMembers - 1));
  Traffic total;
  constexpr int kTicksPerSecond = 2;
  for (int tick = 0; tick < kWarmUpTicks + kMeasuredTicks; ++tick) {
    total = tick == kWarmUpTicks ? Traffic() : total;
    settings::Heartbeat beat;
    beat.m_incarnation = 1'780'000'000'000'000;
    beat.m_number = 100'000;
    beat.m_echoIncarnation = 1'780'000'000'000'000;
    beat.m_echoNumber = 100'000;
    beat.m_fleet = 100'000;
    beat.m_known = 100'000;
    beat.m_age = milliseconds(250);
    for (CountedConnection& link : links) {
      if (tick % kTicksPerSecond == 0) {
        link.Call(daemon::Pack(settings::PeerMessage(beat)), {}, total);
      }
    }
  }
  return PerSecond(total);
}

void
PrintTraffic(int aMembers, int aTeams, const char* aForm, const Traffic& aCost)
{
  std::printf(
    "| %d | %d | %s | %.1f | %.0f | %.0f | %.1f | %.1f |\n",
    aMembers,
    aTeams,
    aForm,
    aCost.m_calls,
    aCost.m_messages,
    aCost.m_sent,
    aCost.m_calls == 0 ? 0 : (aCost.m_sent - aCost.m_messages) / aCost.m_calls,
    aCost.m_calls == 0 ? 0 : aCost.m_received / aCost.m_calls);
}

void
PrintHeartbeatTraffic()
{
  std::puts("\n| members | active teams | form | calls/s | message bytes/s | "
            "bytes/s sent | overhead sent per call | received per call |\n"
            "|---|---|---|---|---|---|---|---|");
  for (const int members : { 9, 40, 100 }) {
    for (const int teams : { 0, 24, 240 }) {
      PrintTraffic(members, teams, "old", OldHeartbeats(members, teams));
      PrintTraffic(members, teams, "deltas", DeltaHeartbeats(members, teams));
    }
    PrintTraffic(members, 0, "settings", SettingsHeartbeats(members));
  }
}

} // namespace

int
main()
{
  std::cout << "| message or row | size | bytes |\n|---|---|---|\n";
  for (const int slices : { 1, 10, 50 }) {
    std::cout << "| heartbeat | " << slices << " slices, no teams | "
              << HeartbeatBytes(slices, 0, 0) << " |\n";
  }
  for (const int teams : { 6, 60, 240 }) {
    std::cout << "| heartbeat | 1 slice, " << teams << " active teams | "
              << HeartbeatBytes(1, teams, teams) << " |\n";
  }
  for (const int active : { 0, 24, 240 }) {
    std::cout << "| heartbeat | 1 slice, 240 teams, " << active << " active | "
              << HeartbeatBytes(1, 240, active) << " |\n";
  }
  for (const int tasks : { 0, 12, 50 }) {
    std::cout << "| worker's answer without deltas | " << tasks << " tasks | "
              << ReplyBytes(tasks, false) << " |\n"
              << "| worker's answer, whole | " << tasks << " tasks | "
              << ReplyBytes(tasks, true) << " |\n";
  }
  for (const int changed : { 0, 1, 12 }) {
    std::cout << "| worker's answer, delta | " << changed << " tasks changed | "
              << DeltaBytes(changed) << " |\n";
  }
  worker::ControlRequest renewal;
  renewal.m_slice = SliceId("workers-lombardy-a-0");
  std::cout << "| worker's renewal without deltas | | "
            << worker::EncodeRequest(renewal).size() << " |\n";
  renewal.m_epoch = 7;
  renewal.m_token = 100'000;
  renewal.m_sequence = 100'000;
  renewal.m_inventory = { kInstance, 10'000 };
  std::cout << "| worker's renewal | | "
            << worker::EncodeRequest(renewal).size() << " |\n";
  for (const int vms : { 10, 100, 1000 }) {
    std::cout << "| VM list | " << vms << " VMs | " << VmListBytes(vms)
              << " |\n";
  }
  for (const std::uint32_t tasks : { 1U, 10U, 100U }) {
    std::cout << "| job row | " << tasks << " tasks, every other ended | "
              << JobRowBytes(tasks) << " |\n";
  }
  std::cout << "| member row | | " << MemberRowBytes() << " |\n"
            << "| slice row | | " << SliceRowBytes() << " |\n"
            << std::flush;
  PrintHeartbeatTraffic();
  return 0;
}
