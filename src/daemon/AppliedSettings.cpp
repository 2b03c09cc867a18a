#include "daemon/AppliedSettings.h"

#include <algorithm>

namespace lacewing::daemon {

routing::RouterTuning
RouterTuningOf(const settings::SettingsTree& aTree)
{
  const auto bound = [&](const char* aKey) {
    return static_cast<std::size_t>(aTree.Integer("requests", aKey));
  };
  routing::RouterTuning tuning;
  tuning.m_queue.m_maxPerClass = { bound("queue_urgent"),
                                   bound("queue_interactive"),
                                   bound("queue_patient") };
  tuning.m_queue.m_maxTotal =
    bound("queue_urgent") + bound("queue_interactive") + bound("queue_patient");
  tuning.m_retryRatio = aTree.Real("requests", "retry_budget");
  tuning.m_backoff.m_base = aTree.Milliseconds("requests", "retry_backoff_ms");
  // The bound on the doubling must not lower a first back-off above it.
  tuning.m_backoff.m_max =
    std::max(tuning.m_backoff.m_max, tuning.m_backoff.m_base);
  tuning.m_missesToGone = GonePolls(aTree);
  return tuning;
}

RecordBudget
RecordBudgetOf(const settings::SettingsTree& aTree)
{
  return {
    static_cast<int>(aTree.Integer("requests", "record_writes_per_second")),
    static_cast<std::size_t>(aTree.Integer("requests", "record_batch_max"))
  };
}

ownership::AllotmentTimings
AllotmentTimingsOf(const settings::SettingsTree& aTree)
{
  ownership::AllotmentTimings timings;
  timings.m_interval = aTree.Milliseconds("limits", "transaction_ms");
  timings.m_idle = aTree.Milliseconds("limits", "idle_return_ms");
  timings.m_stopPatientAfter = aTree.Milliseconds("limits", "stop_patient_ms");
  timings.m_stopAnyAfter = aTree.Milliseconds("limits", "stop_any_ms");
  return timings;
}

sched::SchedulerOptions
SchedulerOptionsOf(const settings::SettingsTree& aTree)
{
  sched::SchedulerOptions options;
  options.m_allotmentPatientWait =
    aTree.Milliseconds("limits", "stop_patient_ms");
  options.m_allotmentWait = aTree.Milliseconds("limits", "stop_any_ms");
  return options;
}

caller::DeadlineBounds
DeadlineBoundsOf(const settings::SettingsTree& aTree)
{
  caller::DeadlineBounds bounds;
  bounds.m_max = aTree.Milliseconds("requests", "deadline_max_ms");
  bounds.m_default = aTree.Milliseconds("requests", "deadline_default_ms");
  return bounds;
}

std::size_t
MaxBodyBytes(const settings::SettingsTree& aTree)
{
  return static_cast<std::size_t>(aTree.Integer("requests", "body_max_bytes"));
}

std::size_t
TimelineBytes(const settings::SettingsTree& aTree)
{
  return static_cast<std::size_t>(aTree.Integer("timeline", "ring_bytes"));
}

int
GonePolls(const settings::SettingsTree& aTree)
{
  return static_cast<int>(aTree.Integer("vm_list", "gone_polls"));
}

void
FillEndpointBounds(const settings::SettingsTree& aTree,
                   std::vector<vmlist::Vm>& aVms)
{
  for (vmlist::Vm& vm : aVms) {
    if (vm.m_kind != vmlist::VmKind::Endpoint ||
        (vm.m_slots > 0 && vm.m_connections > 0)) {
      continue;
    }
    const auto service =
      aTree.Service(vm.m_service).value_or(settings::ServiceSettings());
    if (vm.m_slots == 0) {
      vm.m_slots = service.m_slots;
    }
    if (vm.m_connections == 0) {
      vm.m_connections = service.m_connections;
    }
  }
}

} // namespace lacewing::daemon
