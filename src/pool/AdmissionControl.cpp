#include "pool/AdmissionControl.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace lacewing::pool {

namespace {

/// The other daemons learn of the share about that often.
constexpr Duration kPeriod = milliseconds(250);
/// A job passes some ten turns of the leader's event loop until it is shown as
/// done. At this lag they take half of the half second that interactive jobs
/// have beside their work.
constexpr Duration kLongestLag = milliseconds(25);
/// Factor of the share after each period above that lag, and its increase after
/// each other one: halved within two seconds, and back within ten.
constexpr double kDecrease = 0.9;
constexpr double kIncrease = 0.025;
/// Shows whether the leader keeps up again.
constexpr double kLeastShare = 0.1;
/// Up to this age no more than one answer in a row is missing.
constexpr Duration kUsualAge = kPeriod * 4;

/// Where the job lies between 0 and 1. The same in each build, since daemons of
/// one cell may come from different ones.
double
PlaceOf(const JobId& aJob)
{
  constexpr double kRange = 4294967296.0; // of the 32 bits that are used
  const std::string& id = aJob.Value();
  return static_cast<double>(XXH3_64bits(id.data(), id.size()) >> 32U) / kRange;
}

/// The share after several periods of decrease.
double
Decreased(double aShare, Duration aTime)
{
  const auto periods = static_cast<double>(aTime / kPeriod);
  return std::max(kLeastShare, aShare * std::pow(kDecrease, periods));
}

} // namespace

void
AdmissionControl::OnLag(Time aNow, Duration aLag)
{
  if (m_periodBegin == Time::min()) {
    m_periodBegin = aNow;
  }
  m_leastLag = std::min(m_leastLag, aLag);
  const Duration length = aNow - m_periodBegin;
  if (length < kPeriod) {
    return;
  }
  m_periodBegin = aNow;
  m_standingLag = std::exchange(m_leastLag, Duration::max());
  if (m_standingLag <= kLongestLag) {
    m_share = std::min(1.0, m_share + kIncrease);
    return;
  }
  // One turn of a very busy loop lasts for several periods.
  m_share = Decreased(m_share, length);
}

void
HeardAdmission::OnAnswer(Time aNow, double aShare)
{
  m_share = aShare;
  m_answeredAt = aNow;
}

double
HeardAdmission::AdmittedShare(Time aNow) const
{
  const Duration late = Age(aNow) - kUsualAge;
  return late <= Duration::zero() ? m_share
                                  : std::min(m_share, Decreased(m_share, late));
}

bool
IsAdmitted(const JobId& aJob, double aShare)
{
  return PlaceOf(aJob) < aShare;
}

Duration
TimeToAdmission(const JobId& aJob, double aShare)
{
  const double lack = std::max(0.0, PlaceOf(aJob) - aShare);
  return kPeriod * static_cast<int>(std::ceil(lack / kIncrease));
}

} // namespace lacewing::pool
