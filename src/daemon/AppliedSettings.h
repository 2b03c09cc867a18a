/// The values of the subtree `system` in the form in which the parts of the
/// daemon take them.
#pragma once

#include "caller/CallerRequest.h"
#include "ownership/OwnershipOptions.h"
#include "routing/RequestRouter.h"
#include "sched/SchedulerOptions.h"
#include "settings/SettingsTree.h"
#include "vmlist/VmList.h"

#include <vector>

namespace lacewing::daemon {

struct RecordBudget
{
  int m_writesPerSecond = 0; ///< of all fronts together
  std::size_t m_maxBatch = 0;
};

routing::RouterTuning
RouterTuningOf(const settings::SettingsTree& aTree);
RecordBudget
RecordBudgetOf(const settings::SettingsTree& aTree);
ownership::AllotmentTimings
AllotmentTimingsOf(const settings::SettingsTree& aTree);
sched::SchedulerOptions
SchedulerOptionsOf(const settings::SettingsTree& aTree);
caller::DeadlineBounds
DeadlineBoundsOf(const settings::SettingsTree& aTree);
/// Largest body of a service request.
std::size_t
MaxBodyBytes(const settings::SettingsTree& aTree);
std::size_t
TimelineBytes(const settings::SettingsTree& aTree);
/// Polls of the VM list without a VM after which it is gone.
int
GonePolls(const settings::SettingsTree& aTree);

/// Gives endpoints for which the VM list has no slots or connections those of
/// their service, or the schema's defaults if the service has no section.
void
FillEndpointBounds(const settings::SettingsTree& aTree,
                   std::vector<vmlist::Vm>& aVms);

} // namespace lacewing::daemon
