/// Load shedding: which part of the new jobs the entry daemons accept while the
/// leader's processor is the bottleneck. A job that is refused at once costs
/// the leader nothing; one that is accepted and started late costs as much as
/// one in time.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

namespace lacewing::pool {

class AdmissionControl
{
public:
  /// A timer of the leader's event loop ran that late.
  void OnLag(Time aNow, Duration aLag);
  /// The least lag of the last period: a short burst of work does not raise it,
  /// a lasting excess does. The longest duration before the first period ends.
  Duration StandingLag() const { return m_standingLag; }
  /// Part of the new jobs to accept: above 0, and 1 while the leader keeps up.
  double AdmittedShare() const { return m_share; }

private:
  Time m_periodBegin = Time::min();
  Duration m_leastLag = Duration::max(); ///< in the present period
  Duration m_standingLag = Duration::max();
  double m_share = 1;
};

/// The share as another daemon knows it. A leader that does not answer starts
/// nothing as far as anybody can tell, so the share falls with the age of its
/// last answer.
class HeardAdmission
{
public:
  /// All jobs are accepted until an answer is due.
  explicit HeardAdmission(Time aNow)
    : m_answeredAt(aNow)
  {
  }

  void OnAnswer(Time aNow, double aShare);
  double AdmittedShare(Time aNow) const;
  /// Time since the last answer.
  Duration Age(Time aNow) const { return aNow - m_answeredAt; }

private:
  double m_share = 1; ///< as last heard
  Time m_answeredAt;
};

/// True if the job belongs to the share. It does in each daemon or in none, so
/// that a caller gets the same answer from all of them.
bool
IsAdmitted(const JobId& aJob, double aShare);

/// Time until the job is accepted, if the leader keeps up from now on.
Duration
TimeToAdmission(const JobId& aJob, double aShare);

} // namespace lacewing::pool
