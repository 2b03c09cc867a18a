/// The metrics of a process over prometheus-cpp. One table holds all of them;
/// it also generates docs/metrics.md.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lacewing::observe {

enum class Metric : std::uint8_t
{
  Requests,
  RequestQueueLength,
  TaskQueueLength,
  WaitingSeconds,
  TaskStarts,
  Preemptions,
  JobMoves,
  TableReads,
  TableWrites,
  TableErrors,
  RowsExpired,
  SettingsFleetVersion,
  SettingsAgeSeconds,
  SettingsBadSubtrees,
  SettingsChanges,
  Authentications,
  OwnershipChanges,
  SlicesOwned,
  PeerRefusals,
  PeerBytes,
  LateAnswersDropped,
  CrossRegionBytes,
  LoopLagSeconds,
  TimelineDropped,
  MetricSetsDropped,
  CancellationDelaySeconds,
  JobViewAgeSeconds,
  RelayOrders,
  UnrunnableJobs,
  SuspectWorkers,
  KeptRooms,
  ClientOverload,
};

enum class MetricType : std::uint8_t
{
  Counter,
  Gauge,
  Histogram,
};

struct MetricDef
{
  Metric m_metric;
  std::string_view m_name;
  MetricType m_type;
  std::string_view m_unit;
  std::string_view m_labels; ///< names divided by commas
  std::string_view m_help;
  std::string_view m_alert; ///< when somebody should look
};

/// In the order of the enum.
std::span<const MetricDef>
AllMetrics();

/// Values of a metric's labels, in the order of the table.
using LabelValues = std::initializer_list<std::string_view>;

/// Sets of label values per metric. More of them, such as one per queue name
/// that a caller makes up, would use memory without bound; they are counted in
/// `MetricSetsDropped`.
inline constexpr std::size_t kMaxLabelSets = 1000;

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  void Add(Metric aMetric, LabelValues aLabels = {}, double aValue = 1);
  /// Sets a gauge.
  void Set(Metric aMetric, double aValue, LabelValues aLabels = {});
  /// Adds a value to a histogram, in the unit of the table.
  void Observe(Metric aMetric, double aValue, LabelValues aLabels = {});

  /// Present value of a counter or gauge; 0 if it was never set.
  double Value(Metric aMetric, LabelValues aLabels = {}) const;
  /// The body of `/metrics`.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// The reference page of all metrics in Markdown.
std::string
MetricsPage();

} // namespace lacewing::observe
