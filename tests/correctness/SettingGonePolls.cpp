/// Guards against parts of the daemon that keep the first number of polls after
/// which a VM counts as gone.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"
#include "ownership/MemberRow.h"
#include "ownership/MembershipView.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

const settings::SettingsTree&
FivePolls()
{
  static const auto kTree =
    fakes::SystemSettings("[vm_list]\ngone_polls = 5\n");
  return kTree;
}

} // namespace

TEST(SettingGonePolls, CountsForMembers)
{
  ownership::MembershipView view{ ownership::OwnershipOptions() };
  table::Row row;
  row.m_version = 1;
  row.m_value = ownership::EncodeMember({});
  view.OnRows(Time(), { { ownership::MemberKey(VmId("vm-2")), row } });
  view.SetGonePolls(GonePolls(FivePolls()));
  for (int poll = 0; poll < 4; ++poll) {
    view.OnVmList({});
  }
  EXPECT_FALSE(view.IsGone(VmId("vm-2")));
  view.OnVmList({});
  EXPECT_TRUE(view.IsGone(VmId("vm-2")));
}

TEST(SettingGonePolls, CountsForEndpoints)
{
  routing::EndpointPool<routing::LeastBusy> pool({}, 1);
  pool.Update(Time(), { { VmId("e"), 1 } });
  pool.SetMissesToGone(RouterTuningOf(FivePolls()).m_missesToGone);
  for (int poll = 0; poll < 4; ++poll) {
    EXPECT_TRUE(pool.Update(Time(), {}).empty());
  }
  EXPECT_EQ(pool.Update(Time(), {}).size(), 1U);
}

} // namespace lacewing::daemon
