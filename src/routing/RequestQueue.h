/// Bounded queue of an owner: strict order between classes, fair between the
/// teams of a class by weight, earliest deadline first within a team.
#pragma once

#include "routing/Request.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lacewing::routing {

/// A queued request with what is known of its earlier attempts.
struct QueuedRequest
{
  Request m_request;
  Time m_enqueued{};
  int m_retries = 0;
  /// True once an attempt may have run; such a request is never "not run".
  bool m_mayHaveRun = false;
};

struct QueueOptions
{
  /// Most requests of each class, by `RequestClass`.
  std::array<std::size_t, kRequestClasses> m_maxPerClass = { 2000, 2000, 4000 };
  std::size_t m_maxTotal = 6000;
};

class RequestQueue
{
public:
  explicit RequestQueue(QueueOptions aOptions = {});

  /// True if the team may start one more request.
  using MayStart = std::function<bool(const TeamId&)>;

  /// Adds a request. Returns the requests that were shed: nothing, the newest
  /// patient one that gave way, or the request itself.
  std::vector<QueuedRequest> Push(QueuedRequest aRequest);
  /// Puts back a request that was already admitted, beyond the bounds.
  void PushBack(QueuedRequest aRequest);
  /// Takes the next request of a team that may start one.
  std::optional<QueuedRequest> Pop(const MayStart& aMayStart);
  /// Takes all requests whose deadline is at or before the time.
  std::vector<QueuedRequest> PopExpired(Time aTime);
  /// Takes all requests.
  std::vector<QueuedRequest> Clear();

  /// Bounds for requests that come from now on; queued ones stay.
  void SetOptions(QueueOptions aOptions) { m_options = aOptions; }
  /// Weight of a team, above 0; 1 for a team that was never set.
  void SetWeight(const TeamId& aTeam, double aWeight);

  /// Requests that would be served before a new one with these properties:
  /// higher classes, and the team's part of its own class.
  std::size_t CountAhead(const Request& aRequest) const;
  std::size_t CountOf(RequestClass aClass) const;
  std::size_t size() const { return m_size; }
  bool empty() const { return m_size == 0; }
  std::optional<Time> EarliestDeadline() const;

private:
  using Sequence = std::uint64_t;
  using ByDeadline = std::set<std::pair<Time, Sequence>>;

  struct TeamQueue
  {
    ByDeadline m_entries;
    double m_pass = 0.0; ///< served requests over weight
  };

  struct ClassQueue
  {
    std::map<Sequence, QueuedRequest> m_requests; ///< by age
    ByDeadline m_byDeadline;
    std::map<TeamId, TeamQueue> m_teams;
    std::set<std::pair<double, TeamId>> m_active; ///< by pass
    double m_pass = 0.0; ///< pass of the team served last
  };

  ClassQueue& ClassOf(const Request& aRequest);
  const ClassQueue& ClassOf(const Request& aRequest) const;
  double WeightOf(const TeamId& aTeam) const;
  void Insert(QueuedRequest aRequest);
  QueuedRequest Remove(ClassQueue& aClass, Sequence aSequence);
  std::optional<QueuedRequest> PopClass(ClassQueue& aClass,
                                        const MayStart& aMayStart);
  std::optional<QueuedRequest> ShedNewestPatient();

  QueueOptions m_options;
  std::array<ClassQueue, kRequestClasses> m_classes;
  std::unordered_map<TeamId, double> m_weights;
  Sequence m_next = 0;
  std::size_t m_size = 0;
};

} // namespace lacewing::routing
