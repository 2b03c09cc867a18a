/// Learns from finished runs how long tasks take, since the estimates of
/// callers are off by much and differently in each queue.
///
/// For each kind of task it keeps how run times depend on the estimates, with
/// less weight for older runs: where estimates are reliable it follows them,
/// where they are not it expects what is usual. Run times are those on a worker
/// of usual speed.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "core/Verdict.h"
#include "pool/Job.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lacewing::pool {

/// Tasks that are likely to take equally long. Those of any team and size are
/// the kind that others fall back to.
struct TaskKind
{
  QueueId m_queue;
  TeamId m_team;                 ///< empty for any
  std::uint32_t m_sizeClass = 0; ///< by processors; 0 for any

  auto operator<=>(const TaskKind&) const = default;
};

TaskKind
KindOf(const Job& aJob, const StepSpec& aStep);

struct ExpectedRuntime
{
  Duration m_typical{}; ///< half of the tasks take longer
  Duration m_high{};    ///< a tenth of the tasks takes longer
  bool m_learned = false;
};

class RuntimeModel
{
public:
  /// A whole run of such a task has taken that long.
  void OnDone(const TaskKind& aKind, Duration aEstimate, Duration aTaken);
  ExpectedRuntime Expect(const TaskKind& aKind, Duration aEstimate) const;

  /// The kinds with the most runs, as many as fit in a row of the store.
  std::string Encode() const;
  /// Replaces what is known. Errors: `BadInput`; nothing is replaced then.
  Result<void> Decode(const std::string& aRow);
  std::size_t Kinds() const { return m_kinds.size(); }

private:
  /// Weighted sums over runs: logarithms of estimates (x) and times (y).
  struct Sums
  {
    double m_weight = 0;
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
    double m_ownError = 0;      ///< squares of what this model was off by
    double m_estimateError = 0; ///< likewise of the estimates
    double m_high = 0;          ///< of log time over the typical one
  };

  static bool IsKnown(const Sums& aSums);
  /// The typical time for an estimate, as logarithms.
  static double Predict(const Sums& aSums, double aX);
  static void Add(Sums& aSums, double aX, double aY);
  const Sums* Find(const TaskKind& aKind) const;

  std::map<TaskKind, Sums> m_kinds;
};

} // namespace lacewing::pool
