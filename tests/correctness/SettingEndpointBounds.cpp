/// Guards against endpoints without work because the VM list gives no slots,
/// and against settings that replace what the VM list gives.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

vmlist::Vm
EndpointOf(const std::string& aService, int aSlots, int aConnections)
{
  vmlist::Vm vm;
  vm.m_kind = vmlist::VmKind::Endpoint;
  vm.m_service = ServiceId(aService);
  vm.m_slots = aSlots;
  vm.m_connections = aConnections;
  return vm;
}

} // namespace

TEST(SettingEndpointBounds, FillOnlyWhatTheListOfVmsLeavesOut)
{
  const auto tree =
    fakes::SystemSettings("[service.die-proof]\nslots = 3\nconnections = 17\n");
  std::vector<vmlist::Vm> vms = { EndpointOf("die-proof", 0, 0),
                                  EndpointOf("die-proof", 5, 9),
                                  EndpointOf("other", 0, 0),
                                  vmlist::Vm() };
  FillEndpointBounds(tree, vms);
  EXPECT_EQ(vms[0].m_slots, 3);
  EXPECT_EQ(vms[0].m_connections, 17);
  EXPECT_EQ(vms[1].m_slots, 5);
  EXPECT_EQ(vms[1].m_connections, 9);
  EXPECT_EQ(vms[2].m_slots, 8);
  EXPECT_EQ(vms[2].m_connections, 64);
  EXPECT_EQ(vms[3].m_slots, 0); // a worker
}

} // namespace lacewing::daemon
