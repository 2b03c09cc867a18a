/// Guards against workers that change their slice when others come or go,
/// divided racks, and processes that see different slices in the same list.
#include "vmlist/Fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace lacewing::vmlist {

namespace {

constexpr FleetOptions kOptions{ 4, 3 };

/// Two domains with 20 racks of 8 workers, 20 endpoints, and an entry VM.
std::vector<Vm>
MakeFleet()
{
  std::vector<Vm> vms;
  for (const std::string domain : { "d1", "d2" }) {
    for (int i = 0; i < 180; ++i) {
      const bool isWorker = i < 160;
      Vm vm;
      vm.m_vm = VmId(domain + "-vm-" + std::to_string(i));
      vm.m_kind = isWorker ? VmKind::Worker : VmKind::Endpoint;
      vm.m_domain = DomainId(domain);
      vm.m_region = RegionId("r");
      vm.m_rack = domain + "-rack-" + std::to_string(i / 8);
      vm.m_capacity = { 32'000, 65'536, 0 };
      vm.m_service = ServiceId(isWorker ? "" : "die-proof");
      vms.push_back(vm);
    }
  }
  vms.emplace_back().m_kind = VmKind::Entry;
  return vms;
}

std::map<VmId, SliceId>
SliceOfEach(const std::vector<Vm>& aVms)
{
  std::map<VmId, SliceId> result;
  for (const auto& [id, slice] : DivideIntoSlices(aVms, kOptions)) {
    EXPECT_EQ(slice.m_id, id);
    for (const Vm& vm : slice.m_vms) {
      EXPECT_EQ(vm.m_domain, slice.m_domain);
      EXPECT_EQ(vm.m_service, slice.m_service);
      EXPECT_TRUE(result.emplace(vm.m_vm, id).second) << vm.m_vm;
    }
  }
  return result;
}

} // namespace

TEST(FleetSlices, EveryWorkerAndEndpointIsInOneSlice)
{
  const auto vms = MakeFleet();
  EXPECT_EQ(SliceOfEach(vms).size(), vms.size() - 1);
  Resources sum;
  for (const auto& [id, slice] : DivideIntoSlices(vms, kOptions)) {
    sum += slice.m_kind == SliceKind::Workers ? slice.Capacity() : Resources();
  }
  EXPECT_EQ(sum, (Resources{ 320 * 32'000LL, 320 * 65'536LL, 0 }));
}

TEST(FleetSlices, ARackIsNotDivided)
{
  const auto vms = MakeFleet();
  const auto slices = SliceOfEach(vms);
  std::map<std::string, SliceId> ofRack;
  for (const Vm& vm : vms) {
    if (vm.m_kind == VmKind::Worker) {
      const auto [found, isNew] = ofRack.emplace(vm.m_rack, slices.at(vm.m_vm));
      EXPECT_EQ(found->second, slices.at(vm.m_vm)) << vm.m_rack;
    }
  }
}

TEST(FleetSlices, OthersThatComeOrGoMoveNothing)
{
  const auto whole = MakeFleet();
  const auto before = SliceOfEach(whole);
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 20; ++round) {
    auto some = whole;
    std::erase_if(some, [&](const Vm&) { return random() % 3 == 0; });
    for (const auto& [vm, slice] : SliceOfEach(some)) {
      EXPECT_EQ(slice, before.at(vm)) << vm;
    }
  }
}

TEST(FleetSlices, TheOrderOfTheListDoesNotMatter)
{
  auto vms = MakeFleet();
  const auto before = SliceOfEach(vms);
  std::mt19937_64 random(20261204);
  std::shuffle(vms.begin(), vms.end(), random);
  EXPECT_EQ(SliceOfEach(vms), before);
}

TEST(FleetSlices, PartsBelowOneCountAsOne)
{
  const auto slices = DivideIntoSlices(MakeFleet(), { 0, -1 });
  EXPECT_EQ(slices.size(), 4U);
}

} // namespace lacewing::vmlist
