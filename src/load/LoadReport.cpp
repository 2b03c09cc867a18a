#include "load/LoadReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace lacewing::load {

namespace {

constexpr std::array kParts = { 0.5, 0.9, 0.99, 0.999 };

double
Milliseconds(Duration aDuration)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerMillisecond;
}

std::string
PartName(double aPart)
{
  std::ostringstream out;
  out << "p" << aPart * 100;
  return out.str();
}

std::uint64_t
RefusedOf(const KindReport& aKind)
{
  std::uint64_t sum = 0;
  for (const auto& [reason, count] : aKind.m_refused) {
    sum += count;
  }
  return sum;
}

nlohmann::json
KindJson(const KindReport& aKind)
{
  nlohmann::json latencies;
  for (const double part : kParts) {
    latencies[PartName(part)] =
      Milliseconds(Percentile(aKind.m_latencies, part));
  }
  return {
    { "sent", aKind.m_sent },         { "answered", aKind.m_answered },
    { "repeated", aKind.m_repeated }, { "may_have_run", aKind.m_mayHaveRun },
    { "refused", aKind.m_refused },   { "latency_ms", latencies }
  };
}

/// Geometry of the plot in pixels.
constexpr int kWidth = 720;
constexpr int kHeight = 400;
constexpr int kMargin = 60;

constexpr std::array kColors = { "#1b6ca8", "#c0392b", "#27864c",
                                 "#8e44ad", "#b9770e", "#34495e" };

/// Position of a latency on the logarithmic axis from 0.1 ms to 100 s.
double
YOf(Duration aLatency)
{
  constexpr double kDecades = 6.0;
  const double value = std::max(Milliseconds(aLatency), 0.1);
  const double part = (std::log10(value) + 1.0) / kDecades;
  return kHeight - kMargin - part * (kHeight - 2 * kMargin);
}

double
XOf(double aPart)
{
  return kMargin + aPart * (kWidth - 2 * kMargin);
}

std::string
Curve(const KindReport& aKind, const char* aColor)
{
  constexpr int kPoints = 100;
  auto values = aKind.m_latencies;
  std::ranges::sort(values);
  std::ostringstream out;
  out << "<polyline fill=\"none\" stroke=\"" << aColor
      << "\" stroke-width=\"2\" points=\"";
  for (int point = 0; point <= kPoints && !values.empty(); ++point) {
    const double part = static_cast<double>(point) / kPoints;
    const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    out << XOf(part) << "," << YOf(values[index]) << " ";
  }
  out << "\"/>\n";
  return out.str();
}

std::string
Text(double aX, double aY, const std::string& aText)
{
  std::ostringstream out;
  out << "<text x=\"" << aX << "\" y=\"" << aY
      << "\" font-family=\"sans-serif\" font-size=\"12\">" << aText
      << "</text>\n";
  return out.str();
}

std::string
Axes()
{
  std::ostringstream out;
  for (int decade = -1; decade <= 5; ++decade) {
    const auto latency =
      Duration(static_cast<Duration::rep>(1000.0 * std::pow(10.0, decade)));
    const double y = YOf(latency);
    out << "<line x1=\"" << kMargin << "\" x2=\"" << kWidth - kMargin
        << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n";
    std::ostringstream label;
    label << Milliseconds(latency) << " ms";
    out << Text(4, y + 4, label.str());
  }
  for (const double part : { 0.0, 0.25, 0.5, 0.75, 1.0 }) {
    std::ostringstream label;
    label << part * 100 << "%";
    out << Text(XOf(part) - 10, kHeight - kMargin + 20, label.str());
  }
  return out.str();
}

} // namespace

Duration
Percentile(std::vector<Duration> aValues, double aPart)
{
  if (aValues.empty()) {
    return Duration::zero();
  }
  std::ranges::sort(aValues);
  const auto rank = static_cast<std::size_t>(
    std::ceil(aPart * static_cast<double>(aValues.size())));
  return aValues[std::clamp<std::size_t>(rank, 1, aValues.size()) - 1];
}

std::string
ToText(const LoadReport& aReport)
{
  std::ostringstream out;
  out << "mix " << aReport.m_mix << ", seed " << aReport.m_seed << ", "
      << Milliseconds(aReport.m_duration) / 1000 << " s\n";
  out << std::left << std::setw(20) << "KIND" << std::right << std::setw(9)
      << "SENT" << std::setw(10) << "ANSWERED" << std::setw(9) << "REFUSED"
      << std::setw(10) << "MAY-RUN" << std::setw(10) << "P50 ms"
      << std::setw(10) << "P99 ms" << std::setw(10) << "P99.9 ms"
      << "\n";
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, kind] : aReport.m_kinds) {
    out << std::left << std::setw(20) << name << std::right << std::setw(9)
        << kind.m_sent << std::setw(10) << kind.m_answered << std::setw(9)
        << RefusedOf(kind) << std::setw(10) << kind.m_mayHaveRun
        << std::setw(10) << Milliseconds(Percentile(kind.m_latencies, 0.5))
        << std::setw(10) << Milliseconds(Percentile(kind.m_latencies, 0.99))
        << std::setw(10) << Milliseconds(Percentile(kind.m_latencies, 0.999))
        << "\n";
    for (const auto& [reason, count] : kind.m_refused) {
      out << "  refused " << reason << ": " << count << "\n";
    }
  }
  const Violations& violations = aReport.m_violations;
  out << "lost " << violations.m_lost << ", doubled " << violations.m_doubled
      << ", untrue " << violations.m_untrue << "\n";
  for (const std::string& detail : aReport.m_details) {
    out << "  " << detail << "\n";
  }
  for (const std::string& detail : aReport.m_uncertain) {
    out << "  may have run: " << detail << "\n";
  }
  return out.str();
}

std::string
ToJson(const LoadReport& aReport)
{
  nlohmann::json kinds = nlohmann::json::object();
  for (const auto& [name, kind] : aReport.m_kinds) {
    kinds[name] = KindJson(kind);
  }
  const nlohmann::json body = {
    { "mix", aReport.m_mix },
    { "seed", aReport.m_seed },
    { "duration_ms", Milliseconds(aReport.m_duration) },
    { "kinds", kinds },
    { "violations",
      { { "lost", aReport.m_violations.m_lost },
        { "doubled", aReport.m_violations.m_doubled },
        { "untrue", aReport.m_violations.m_untrue } } },
    { "details", aReport.m_details },
    { "uncertain", aReport.m_uncertain }
  };
  return body.dump(2) + "\n";
}

std::string
ToSvg(const LoadReport& aReport)
{
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight << "\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << Axes()
      << Text(kMargin, 20, "latency by percentile, mix " + aReport.m_mix);
  std::size_t index = 0;
  for (const auto& [name, kind] : aReport.m_kinds) {
    const char* color = kColors.at(index % kColors.size());
    out << Curve(kind, color);
    const double y = 40.0 + 16.0 * static_cast<double>(index);
    out << "<rect x=\"" << kMargin + 10 << "\" y=\"" << y - 9
        << "\" width=\"10\" height=\"10\" fill=\"" << color << "\"/>\n"
        << Text(kMargin + 26, y, name);
    ++index;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace lacewing::load
