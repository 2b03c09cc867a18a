/// Timings of membership, slice ownership and allotments, with the defaults of
/// the design page.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace lacewing::ownership {

/// Safety mechanisms that the mutation tests switch off one at a time. The
/// daemon always runs with all of them.
struct Mechanisms
{
  bool m_leaseMargin = true;         ///< observers wait longer than the lease
  bool m_deposeOnVersion = true;     ///< a deposal checks the row's version
  bool m_waitBeforeOpen = true;      ///< a slice opens only after adoption
  bool m_promiseObligation = true;   ///< a promise binds its giver
  bool m_joinAcknowledgement = true; ///< a member joins only when acknowledged
  bool m_joinGrace = true;           ///< a new member waits before takeovers
  bool m_allotmentSum = true;        ///< a raise stays within the limit
  bool m_allotmentFence = true;      ///< allotments change only under ownership
  bool m_promiseContinuity = true;   ///< promises extend only a live authority
};

/// The timings of allotments. They concern no lease, so members may differ in
/// them while a change spreads.
struct AllotmentTimings
{
  Duration m_interval = seconds(1);
  Duration m_idle = seconds(5);
  Duration m_stopPatientAfter = seconds(5);
  Duration m_stopAnyAfter = seconds(10);
};

struct OwnershipOptions
{
  Duration m_renewInterval = seconds(1);
  Duration m_lease = seconds(3);
  /// How long a promise binds its giver.
  Duration m_promise = seconds(3);
  double m_clockRateError = kDefaultClockRateError;
  Duration m_viewInterval = seconds(1);
  /// Probes start when the last successful renewal was sent this long ago.
  Duration m_probeAfter = milliseconds(1500);
  Duration m_probeInterval = milliseconds(500);
  Duration m_helloInterval = milliseconds(500);
  /// Without a successful call for this long the table counts as down.
  Duration m_tableDownAfter = seconds(2);
  Duration m_workerLease = seconds(20);
  Duration m_workerRenewInterval = seconds(5);
  Duration m_adoptInterval = seconds(1);
  Duration m_allotmentInterval = seconds(1);
  Duration m_allotmentIdle = seconds(5);
  Duration m_stopPatientAfter = seconds(5);
  Duration m_stopAnyAfter = seconds(10);
  Duration m_freshness = seconds(5);
  /// The largest request deadline; a drain ends 2 s after it at the latest.
  Duration m_drainRequests = seconds(30);
  Duration m_drainBound = seconds(32);
  int m_gonePolls = 3;
  /// Bounds the size of one transaction.
  std::size_t m_claimsPerWrite = 64;
  Mechanisms m_mechanisms;

  /// How long another member's row must be seen unchanged before it is deposed.
  Duration DeposeAfter() const
  {
    // Without the margin, the mutation assumes a lease of 9/10.
    return m_mechanisms.m_leaseMargin ? Scale(m_lease, 1 + 2 * m_clockRateError)
                                      : Scale(m_lease, 0.9);
  }
  /// How long a promise is worth to its receiver, from when it asked.
  Duration PromiseWorth() const
  {
    return Scale(m_promise, 1 - 2 * m_clockRateError);
  }
  /// After this long on this clock, an unrenewed worker lease is surely over.
  Duration WorkerLapse() const
  {
    return Scale(m_workerLease, 1 + 2 * m_clockRateError);
  }
};

} // namespace lacewing::ownership
