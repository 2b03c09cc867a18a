/// What a load run measured, as text for people, JSON for programs and an SVG
/// plot.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewing::load {

/// Results of one kind of request or job.
struct KindReport
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_repeated = 0; ///< sends beyond the first of a request
  std::uint64_t m_mayHaveRun = 0;
  std::map<std::string, std::uint64_t> m_refused; ///< "not run", by error name
  std::vector<Duration> m_latencies;              ///< of the answered ones
};

/// Broken promises of the system. All must be zero.
struct Violations
{
  std::uint64_t m_lost = 0;    ///< neither an answer nor a verdict
  std::uint64_t m_doubled = 0; ///< non-idempotent work that ran twice
  std::uint64_t m_untrue = 0;  ///< answers and verdicts that were false

  bool Any() const { return m_lost + m_doubled + m_untrue > 0; }
};

struct LoadReport
{
  std::string m_mix;
  std::uint64_t m_seed = 0;
  Duration m_duration{};
  std::map<std::string, KindReport> m_kinds; ///< by method or name of the job
  Violations m_violations;
  std::vector<std::string> m_details; ///< one line for each violation
  /// One line for each request that may have run, with the errors of its sends.
  std::vector<std::string> m_uncertain;
};

/// The smallest latency that the given part of the values does not exceed; zero
/// for no values.
Duration
Percentile(std::vector<Duration> aValues, double aPart);

std::string
ToText(const LoadReport& aReport);
std::string
ToJson(const LoadReport& aReport);
/// Latency against percentile, one line for each kind.
std::string
ToSvg(const LoadReport& aReport);

} // namespace lacewing::load
