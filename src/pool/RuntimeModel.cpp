#include "pool/RuntimeModel.h"

#include "core/DecodeJson.h"
#include "core/JsonFields.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <vector>

namespace lacewing::pool {

namespace {

using Json = nlohmann::json;

/// Runs after which an earlier one has lost two thirds of its weight.
constexpr double kRememberedRuns = 200;
/// Fewer runs say less than those of all teams, or than the estimate.
constexpr double kFewRuns = 20;
/// A run may not move the typical time by more than this factor (of e), so that
/// rare runs that take many times as long leave it as it is.
constexpr double kMostResidual = 1;
/// Variance of estimates, as logarithms, below which they tell no difference.
constexpr double kLeastVariance = 1e-4;
constexpr double kHighQuantile = 0.9;
/// How far one run moves the high quantile.
constexpr double kQuantileStep = 0.05;
constexpr double kShortestMs = 1;
/// Bounds the memory; tasks of further kinds fall back to those of their queue.
constexpr std::size_t kMostKinds = 10'000;
/// Each takes about a hundred bytes of a row of 64 kB.
constexpr std::size_t kMostStoredKinds = 400;

double
LogMs(Duration aTime)
{
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  return std::log(std::max(ms, kShortestMs));
}

Duration
FromLogMs(double aLog)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(std::exp(aLog)));
}

} // namespace

TaskKind
KindOf(const Job& aJob, const StepSpec& aStep)
{
  const auto millicores = static_cast<std::uint64_t>(
    std::max<std::int64_t>(1, aStep.m_each.m_millicores));
  return { aJob.m_queue,
           aJob.m_team,
           static_cast<std::uint32_t>(std::bit_width(millicores)) };
}

bool
RuntimeModel::IsKnown(const Sums& aSums)
{
  return aSums.m_weight >= kFewRuns;
}

double
RuntimeModel::Predict(const Sums& aSums, double aX)
{
  const double meanX = aSums.m_x / aSums.m_weight;
  const double meanY = aSums.m_y / aSums.m_weight;
  const double variance = aSums.m_xx / aSums.m_weight - meanX * meanX;
  if (variance < kLeastVariance) {
    return meanY;
  }
  const double covariance = aSums.m_xy / aSums.m_weight - meanX * meanY;
  const double slope = std::clamp(covariance / variance, 0.0, 1.0);
  return meanY + slope * (aX - meanX);
}

void
RuntimeModel::Add(Sums& aSums, double aX, double aY)
{
  constexpr double kKept = 1 - 1 / kRememberedRuns;
  double y = aY;
  double own = aY - aX;
  if (IsKnown(aSums)) {
    const double expected = Predict(aSums, aX);
    own = aY - expected;
    y = expected + std::clamp(own, -kMostResidual, kMostResidual);
    const bool isLonger = own > aSums.m_high;
    aSums.m_high +=
      kQuantileStep * (isLonger ? kHighQuantile : kHighQuantile - 1);
  }
  const auto bounded = [](double aError) {
    return std::pow(std::clamp(aError, -kMostResidual, kMostResidual), 2);
  };
  aSums.m_weight = aSums.m_weight * kKept + 1;
  aSums.m_x = aSums.m_x * kKept + aX;
  aSums.m_y = aSums.m_y * kKept + y;
  aSums.m_xx = aSums.m_xx * kKept + aX * aX;
  aSums.m_xy = aSums.m_xy * kKept + aX * y;
  aSums.m_ownError = aSums.m_ownError * kKept + bounded(own);
  aSums.m_estimateError = aSums.m_estimateError * kKept + bounded(aY - aX);
}

void
RuntimeModel::OnDone(const TaskKind& aKind, Duration aEstimate, Duration aTaken)
{
  const double x = LogMs(aEstimate);
  const double y = LogMs(aTaken);
  Add(m_kinds[{ aKind.m_queue, {}, 0 }], x, y);
  if (m_kinds.size() < kMostKinds || m_kinds.contains(aKind)) {
    Add(m_kinds[aKind], x, y);
  }
}

const RuntimeModel::Sums*
RuntimeModel::Find(const TaskKind& aKind) const
{
  for (const TaskKind& kind : { aKind, TaskKind{ aKind.m_queue, {}, 0 } }) {
    const auto it = m_kinds.find(kind);
    if (it != m_kinds.end() && IsKnown(it->second)) {
      return &it->second;
    }
  }
  return nullptr;
}

ExpectedRuntime
RuntimeModel::Expect(const TaskKind& aKind, Duration aEstimate) const
{
  const Sums* sums = Find(aKind);
  if (sums == nullptr) {
    return { aEstimate, aEstimate, false };
  }
  const double x = LogMs(aEstimate);
  // Where callers know more than the runs tell, their estimates hold.
  if (sums->m_ownError >= sums->m_estimateError) {
    return { aEstimate, aEstimate, false };
  }
  const double typical = Predict(*sums, x);
  return { FromLogMs(typical),
           FromLogMs(typical + std::max(0.0, sums->m_high)),
           true };
}

std::string
RuntimeModel::Encode() const
{
  std::vector<std::pair<double, const TaskKind*>> kinds;
  for (const auto& [kind, sums] : m_kinds) {
    kinds.emplace_back(sums.m_weight, &kind);
  }
  std::ranges::sort(
    kinds, std::greater{}, [](const auto& aItem) { return aItem.first; });
  kinds.resize(std::min(kinds.size(), kMostStoredKinds));
  Json rows = Json::array();
  const auto rounded = [](double aValue) {
    constexpr double kDigits = 1e4;
    return std::round(aValue * kDigits) / kDigits;
  };
  for (const auto& [weight, kind] : kinds) {
    const Sums& sums = m_kinds.at(*kind);
    rows.push_back({ kind->m_queue.Value(),
                     kind->m_team.Value(),
                     kind->m_sizeClass,
                     rounded(sums.m_weight),
                     rounded(sums.m_x),
                     rounded(sums.m_y),
                     rounded(sums.m_xx),
                     rounded(sums.m_xy),
                     rounded(sums.m_ownError),
                     rounded(sums.m_estimateError),
                     rounded(sums.m_high) });
  }
  return Json{ { "kinds", std::move(rows) } }.dump();
}

Result<void>
RuntimeModel::Decode(const std::string& aRow)
{
  BOOST_LEAF_AUTO(
    decoded, DecodeJson(Verdict::NotRun, "row of run times", [&] {
      std::map<TaskKind, Sums> kinds;
      const Json json = Json::parse(aRow);
      for (const Json& row : ArrayField(json, "kinds")) {
        const TaskKind kind{ QueueId(row.at(0).get<std::string>()),
                             TeamId(row.at(1).get<std::string>()),
                             row.at(2).get<std::uint32_t>() };
        kinds[kind] = { row.at(3).get<double>(), row.at(4).get<double>(),
                        row.at(5).get<double>(), row.at(6).get<double>(),
                        row.at(7).get<double>(), row.at(8).get<double>(),
                        row.at(9).get<double>(), row.at(10).get<double>() };
      }
      return kinds;
    }));
  m_kinds = std::move(decoded);
  return {};
}

} // namespace lacewing::pool
