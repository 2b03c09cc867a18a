/// A slice scheduler under virtual time: tasks run for a while, and stops,
/// marks and starts take effect with a delay.
#pragma once

#include "SchedLoad.h"

#include <map>
#include <queue>

namespace lacewing::bench {

template<typename Scheduler>
class VirtualSlice
{
public:
  explicit VirtualSlice(std::uint64_t aSeed)
    : m_stream(Shape::TwoYears, aSeed, 1)
  {
  }

  void AddFleet(std::uint32_t aWorkers)
  {
    constexpr std::uint32_t kDomains = 11;
    for (std::uint32_t number = 0; number < aWorkers; ++number) {
      m_scheduler.UpsertWorker(m_now,
                               FleetWorker(Shape::TwoYears, number, kDomains));
    }
    m_scheduler.SetOpen(true);
  }

  void AddTeam(const TeamId& aTeam, double aWeight)
  {
    m_scheduler.SetTeam(m_now, aTeam, aWeight);
    m_scheduler.SetAllotment(aTeam, kNoBound);
  }

  void Submit(JobSpec aSpec)
  {
    m_submitted[aSpec.m_id] = m_now;
    m_scheduler.Submit(m_now, aSpec);
  }

  /// Ends what is due, decides, and moves on by one tick.
  void Tick(Duration aTick, std::size_t aStarts)
  {
    m_now += aTick;
    while (!m_ends.empty() && m_ends.top().m_time <= m_now) {
      const Ending ending = m_ends.top();
      m_ends.pop();
      m_scheduler.OnTaskEnd(ending.m_time,
                            ending.m_action.m_worker,
                            ending.m_action.m_task,
                            ending.m_action.m_attempt,
                            ending.m_outcome);
    }
    for (const JobId& job : m_scheduler.TakeFinished()) {
      m_submitted.erase(job);
      m_scheduler.Forget(job);
    }
    Apply(m_scheduler.Decide(m_now, aStarts));
  }

  /// Waits from submission to the first start of each urgent job, with the way
  /// of the command to the worker.
  std::vector<Duration> m_urgentWaits;
  std::map<JobId, Time> m_urgentPending;
  std::size_t m_starts = 0;
  std::size_t m_stops = 0;
  std::size_t m_throttles = 0;
  double m_runFactor = 10; ///< declared run times are off by up to this factor
  Time m_now = Time() + seconds(1);
  Scheduler m_scheduler;
  JobStream m_stream;

private:
  struct Ending
  {
    Time m_time;
    sched::Action m_action;
    worker::TaskOutcome m_outcome = worker::TaskOutcome::Succeeded;

    bool operator<(const Ending& aOther) const
    {
      return m_time > aOther.m_time;
    }
  };

  void Apply(const std::vector<sched::Action>& aActions)
  {
    for (const sched::Action& action : aActions) {
      switch (action.m_kind) {
        case sched::ActionKind::Start:
          Start(action);
          break;
        case sched::ActionKind::Stop:
        case sched::ActionKind::Checkpoint:
          Stop(action);
          break;
        case sched::ActionKind::Throttle:
          ++m_throttles;
          break;
        case sched::ActionKind::Unthrottle:
        case sched::ActionKind::MarkStarted:
          break;
      }
    }
  }

  void Start(const sched::Action& aAction)
  {
    ++m_starts;
    constexpr Duration kWayToWorker = milliseconds(25);
    if (const auto urgent = m_urgentPending.find(aAction.m_task.m_job);
        urgent != m_urgentPending.end()) {
      m_urgentWaits.push_back(m_now + kWayToWorker - urgent->second);
      m_urgentPending.erase(urgent);
    }
    const double run = static_cast<double>(aAction.m_runMs) *
                       m_stream.OffBy(m_runFactor) / m_runFactor * 2;
    m_ends.push(
      { m_now + kWayToWorker + milliseconds(static_cast<std::int64_t>(run)),
        aAction,
        worker::TaskOutcome::Succeeded });
  }

  /// A stop is confirmed after 100 to 500 ms.
  void Stop(const sched::Action& aAction)
  {
    ++m_stops;
    const auto delay =
      milliseconds(100 + static_cast<std::int64_t>(m_stream.Draw(400)));
    m_ends.push({ m_now + delay,
                  aAction,
                  aAction.m_kind == sched::ActionKind::Stop
                    ? worker::TaskOutcome::Stopped
                    : worker::TaskOutcome::Checkpointed });
  }

  std::priority_queue<Ending> m_ends;
  std::map<JobId, Time> m_submitted;
};

} // namespace lacewing::bench
