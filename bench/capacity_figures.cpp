/// Prints the sizes of messages and rows from which docs/CAPACITY.md works out
/// the traffic of each role. Deterministic; takes no arguments.
#include "daemon/LoadView.h"
#include "jobs/JobRecord.h"
#include "ownership/MemberRow.h"
#include "ownership/SliceRow.h"
#include "peer/PeerCodec.h"
#include "vmlist/VmList.h"
#include "worker/WorkerMessages.h"

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
            << "| slice row | | " << SliceRowBytes() << " |\n";
  return 0;
}
