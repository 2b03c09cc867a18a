#include "observe/Metrics.h"

#include "core/EnumNames.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>
#include <unordered_map>
#include <vector>

template<>
struct lacewing::EnumNames<lacewing::observe::MetricType>
{
  using Type = lacewing::observe::MetricType;
  static constexpr std::array kTable = {
    std::pair{ Type::Counter, std::string_view("counter") },
    std::pair{ Type::Gauge, std::string_view("gauge") },
    std::pair{ Type::Histogram, std::string_view("histogram") },
  };
};

namespace lacewing::observe {

namespace {

using enum MetricType;

// clang-format off
constexpr MetricDef kMetrics[] = {
  { Metric::Requests, "lacewing_requests_total", Counter, "requests", "verdict,error", "Service requests that have ended, by verdict and error; error is none for an answer.", "may_have_run grows by more than 1% of the requests over 5 minutes" },
  { Metric::RequestQueueLength, "lacewing_request_queue_length", Gauge, "requests", "class", "Service requests that wait in this process.", "above 80% of the bound for 1 minute" },
  { Metric::TaskQueueLength, "lacewing_task_queue_length", Gauge, "tasks", "class", "Tasks that wait in the slices of this process; class is urgent or other.", "urgent above 0 for 10 s" },
  { Metric::WaitingSeconds, "lacewing_waiting_seconds", Histogram, "seconds", "class", "Time from acceptance to the start.", "99th percentile of urgent above 1.9 s" },
  { Metric::TaskStarts, "lacewing_task_starts_total", Counter, "tasks", "class", "Tasks started.", "no growth for 1 minute while tasks wait" },
  { Metric::Preemptions, "lacewing_preemptions_total", Counter, "tasks", "kind", "Tasks throttled, checkpointed or stopped for other work.", "more than a tenth of the starts over 10 minutes" },
  { Metric::JobMoves, "lacewing_job_moves_total", Counter, "jobs", "result", "Waiting jobs that were to move to another slice, by result: moved or put_back.", "put_back above a tenth of moved over 10 minutes" },
  { Metric::TableReads, "lacewing_table_reads_total", Counter, "calls", "purpose", "Reads of the table service.", "above 2000/s over all processes" },
  { Metric::TableWrites, "lacewing_table_writes_total", Counter, "calls", "purpose", "Transactions sent to the table service.", "above 300/s over all processes" },
  { Metric::TableErrors, "lacewing_table_errors_total", Counter, "calls", "state", "Calls of the table service without success.", "unknown grows for 10 s" },
  { Metric::RowsExpired, "lacewing_rows_expired_total", Counter, "rows", "kind", "Rows that this process deleted after their retention; kind is request or submission.", "no growth for 3 hours while the table grows" },
  { Metric::SettingsFleetVersion, "lacewing_settings_fleet_version", Gauge, "changes", "", "Accepted changes of settings that are in force here.", "processes differ for more than 13 s" },
  { Metric::SettingsAgeSeconds, "lacewing_settings_age_seconds", Gauge, "seconds", "", "Time since the settings in force were confirmed as the newest.", "above 5 s: keyed work is refused" },
  { Metric::SettingsBadSubtrees, "lacewing_settings_bad_subtrees", Gauge, "subtrees", "", "Subtrees whose newest version can't be used.", "above 0" },
  { Metric::SettingsChanges, "lacewing_settings_changes_total", Counter, "changes", "result", "Changes of settings asked of this process, by result.", "may_have_run grows" },
  { Metric::Authentications, "lacewing_authentications_total", Counter, "requests", "result", "Checks of keys, by result: accepted, or the error.", "stale_settings grows; unauthenticated above 10/s" },
  { Metric::OwnershipChanges, "lacewing_ownership_changes_total", Counter, "slices", "kind", "Slices claimed, released or lost.", "lost grows" },
  { Metric::SlicesOwned, "lacewing_slices_owned", Gauge, "slices", "", "Slices that this process owns.", "the sum over all processes is below the number of slices for 30 s" },
  { Metric::PeerRefusals, "lacewing_peer_refusals_total", Counter, "connections", "reason", "Connections of other daemons that were refused.", "grows" },
  { Metric::PeerBytes, "lacewing_peer_bytes_total", Counter, "bytes", "kind,direction", "Encoded messages exchanged with other daemons, by kind of message; direction is sent or received. The kind overhead is what connections carry besides: frames of HTTP/2, handshakes and messages that were refused.", "sent above 25 kB/s without forward_request and answer" },
  { Metric::LateAnswersDropped, "lacewing_late_answers_dropped_total", Counter, "answers", "", "Answers that came after their request had ended.", "above 1% of the requests" },
  { Metric::CrossRegionBytes, "lacewing_cross_region_bytes_total", Counter, "bytes", "region,direction", "Bodies of service requests and answers that this process exchanged with owners in another region; direction is sent or received.", "above 2.5 MB/s" },
  { Metric::LoopLagSeconds, "lacewing_loop_lag_seconds", Histogram, "seconds", "", "Delay of timers of the event loop.", "99th percentile above 0.05 s" },
  { Metric::TimelineDropped, "lacewing_timeline_dropped_total", Counter, "events", "", "Time line events dropped from the full ring.", "never; it shows the span of the ring" },
  { Metric::MetricSetsDropped, "lacewing_metric_sets_dropped_total", Counter, "values", "", "Values dropped because a metric has too many label sets.", "grows" },
  { Metric::CancellationDelaySeconds, "lacewing_cancellation_delay_seconds", Histogram, "seconds", "source", "Time from a caller's cancellation until the pool's leader knows of it, by the clocks of both VMs; source is load, reload, watch or front.", "above 2 s" },
  { Metric::JobViewAgeSeconds, "lacewing_job_view_age_seconds", Histogram, "seconds", "", "How old the leader's view of the stored jobs and cancellations was as the store's next answer renewed it.", "above 2 s" },
  { Metric::RelayOrders, "lacewing_relay_orders_total", Counter, "orders", "verdict", "Orders of the pool's leader for workers that this process has received as a relay, by verdict: accepted, late, superseded or repeated.", "late grows for 10 s" },
  { Metric::UnrunnableJobs, "lacewing_unrunnable_jobs_total", Counter, "jobs", "reason", "Jobs of the pool that hold up no others since they can't run, by reason: fails_everywhere (a step fails on more workers than it is done on) or too_large (a gang that all usable workers together can't hold).", "grows for 1 minute" },
  { Metric::SuspectWorkers, "lacewing_suspect_workers_total", Counter, "workers", "reason", "Times that a worker of the pool became suspect, or stayed so after a further failure, by reason: failed (runs on it fail) or stuck (a run on it made no progress).", "grows for 1 minute" },
  { Metric::KeptRooms, "lacewing_kept_rooms_total", Counter, "decisions", "reason", "Decisions about room that the pool keeps for a gang, by reason: gang_waits (room is kept from now on) or gang_passed (a task of another job was started in it, since its job had nothing running).", "gang_passed grows for 1 minute" },
  { Metric::ClientOverload, "lacewing_client_overload_total", Counter, "connections and requests", "listener,action", "Clients that exceeded the limits of a listener (callers, probe, peers or relay), by action: closed (a connection) or refused (a request, with 503).", "grows" },
};
// clang-format on

constexpr std::size_t kMetricCount = std::size(kMetrics);

/// Bounds in seconds, from a placement decision to the largest deadline.
const prometheus::Histogram::BucketBoundaries kBuckets = {
  0.0001, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 1.9, 5, 10, 30, 60, 600
};

const MetricDef&
DefOf(Metric aMetric)
{
  return kMetrics[static_cast<std::size_t>(aMetric)];
}

std::vector<std::string>
LabelNames(const MetricDef& aDef)
{
  std::vector<std::string> names;
  std::stringstream text{ std::string(aDef.m_labels) };
  for (std::string name; std::getline(text, name, ',');) {
    names.push_back(name);
  }
  return names;
}

prometheus::Labels
LabelsOf(const MetricDef& aDef, LabelValues aValues)
{
  prometheus::Labels labels;
  auto value = aValues.begin();
  for (const std::string& name : LabelNames(aDef)) {
    labels[name] = value == aValues.end() ? "" : std::string(*value++);
  }
  return labels;
}

std::string
CacheKey(LabelValues aValues)
{
  std::string key;
  for (const std::string_view value : aValues) {
    key += value;
    key += '\0';
  }
  return key;
}

} // namespace

struct Metrics::State
{
  /// Series by the values of their labels.
  template<typename T>
  struct Series
  {
    prometheus::Family<T>* m_family = nullptr;
    std::unordered_map<std::string, T*> m_known;
  };

  template<typename T, typename... Args>
  T* Find(std::array<Series<T>, kMetricCount>& aSeries,
          Metric aMetric,
          LabelValues aValues,
          const Args&... aArgs)
  {
    Series<T>& series = aSeries[static_cast<std::size_t>(aMetric)];
    std::string key = CacheKey(aValues);
    const auto found = series.m_known.find(key);
    if (found != series.m_known.end()) {
      return found->second;
    }
    if (series.m_family == nullptr) {
      return nullptr;
    }
    if (series.m_known.size() >= kMaxLabelSets) {
      if (aMetric != Metric::MetricSetsDropped) {
        Find(m_counters, Metric::MetricSetsDropped, {})->Increment();
      }
      return nullptr;
    }
    T& added =
      series.m_family->Add(LabelsOf(DefOf(aMetric), aValues), aArgs...);
    series.m_known.emplace(std::move(key), &added);
    return &added;
  }

  prometheus::Registry m_registry;
  std::array<Series<prometheus::Counter>, kMetricCount> m_counters;
  std::array<Series<prometheus::Gauge>, kMetricCount> m_gauges;
  std::array<Series<prometheus::Histogram>, kMetricCount> m_histograms;
};

std::span<const MetricDef>
AllMetrics()
{
  return kMetrics;
}

Metrics::Metrics()
  : m_state(std::make_unique<State>())
{
  for (const MetricDef& def : kMetrics) {
    const auto index = static_cast<std::size_t>(def.m_metric);
    const std::string name(def.m_name);
    const std::string help(def.m_help);
    prometheus::Registry& registry = m_state->m_registry;
    switch (def.m_type) {
      case Counter:
        m_state->m_counters[index].m_family =
          &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        break;
      case Gauge:
        m_state->m_gauges[index].m_family =
          &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
        break;
      case Histogram:
        m_state->m_histograms[index].m_family =
          &prometheus::BuildHistogram().Name(name).Help(help).Register(
            registry);
        break;
    }
  }
}

Metrics::~Metrics() = default;

void
Metrics::Add(Metric aMetric, LabelValues aLabels, double aValue)
{
  auto* counter = m_state->Find(m_state->m_counters, aMetric, aLabels);
  if (counter != nullptr) {
    counter->Increment(aValue);
  }
}

void
Metrics::Set(Metric aMetric, double aValue, LabelValues aLabels)
{
  auto* gauge = m_state->Find(m_state->m_gauges, aMetric, aLabels);
  if (gauge != nullptr) {
    gauge->Set(aValue);
  }
}

void
Metrics::Observe(Metric aMetric, double aValue, LabelValues aLabels)
{
  auto* histogram =
    m_state->Find(m_state->m_histograms, aMetric, aLabels, kBuckets);
  if (histogram != nullptr) {
    histogram->Observe(aValue);
  }
}

double
Metrics::Value(Metric aMetric, LabelValues aLabels) const
{
  const auto index = static_cast<std::size_t>(aMetric);
  const std::string key = CacheKey(aLabels);
  const auto& counters = m_state->m_counters[index].m_known;
  const auto counter = counters.find(key);
  if (counter != counters.end()) {
    return counter->second->Value();
  }
  const auto& gauges = m_state->m_gauges[index].m_known;
  const auto gauge = gauges.find(key);
  return gauge == gauges.end() ? 0 : gauge->second->Value();
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_state->m_registry.Collect());
}

std::string
MetricsPage()
{
  std::ostringstream out;
  out << "# Metrics\n\nGenerated by `lacewing-settings-doc metrics` from the "
         "table in `src/observe/Metrics.cpp`. Every entry daemon serves them "
         "at `/metrics`.\n\n"
      << "| name | type | unit | labels | description | look at it when |\n"
      << "|---|---|---|---|---|---|\n";
  for (const MetricDef& def : kMetrics) {
    out << "| `" << def.m_name << "` | " << NameOf(def.m_type) << " | "
        << def.m_unit << " | " << def.m_labels << " | " << def.m_help << " | "
        << def.m_alert << " |\n";
  }
  return out.str();
}

} // namespace lacewing::observe
