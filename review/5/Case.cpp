// Runners crash and start again under their ids, as runners of another kind.
// Tasks that need the former kind may not start on them.
#include "review/cell/Cell.h"

namespace {

using review::Answer;
using review::Cell;
using review::Json;

constexpr int kJobs = 40;
constexpr int kTasks = 20;
constexpr double kCrashAt = 4;
constexpr double kDownFor = 1.5;
/// The runners are back one after the other.
constexpr double kReturnSpacing = 0.15;
/// Share 0.14 of 48 runners.
constexpr std::size_t kCrashes = 6;
constexpr double kLastCheck = 30;

void
Judge(Cell& aCell, int aAccepted)
{
  int wrong = 0;
  for (const review::SeenStart& start : aCell.Runners().m_starts) {
    if (start.m_label != "a") {
      ++wrong;
      aCell.Log().Write("needs kind a, started on a runner of kind " +
                        start.m_label + ": " + start.m_task + " on " +
                        start.m_worker + " at " + std::to_string(start.m_atMs) +
                        " ms");
    }
  }
  review::Finish(aCell,
                 wrong > 0 ? 1 : 0,
                 std::to_string(aAccepted) + " accepted, " +
                   std::to_string(aCell.Runners().m_starts.size()) +
                   " starts, " + std::to_string(wrong) +
                   " on a runner without the label");
}

void
Play(Cell& aCell, bool aTrouble)
{
  const auto accepted = std::make_shared<int>(0);
  for (int job = 0; job < kJobs; ++job) {
    const Json body = { { "spec", "1500" },
                        { "steps",
                          { { { "count", kTasks },
                              { "cpu", 8000 },
                              { "mem_mb", 9000 },
                              { "estimate_ms", 1500 },
                              { "required_label", "a" } } } } };
    aCell.Submit("bridge",
                 review::JobId(static_cast<std::uint64_t>(job)),
                 body,
                 [accepted](const Answer& aAnswer) {
                   *accepted += aAnswer.m_status == 200 ? 1 : 0;
                 });
  }
  if (aTrouble) {
    aCell.After(kCrashAt, [&aCell] {
      for (std::size_t number = 0; number < kCrashes; ++number) {
        // Runners with an even number are of kind a.
        review::Worker& worker = *aCell.Workers()[2 * number];
        worker.Crash();
        const double down =
          kDownFor + static_cast<double>(number) * kReturnSpacing;
        aCell.After(down, [&worker] {
          review::WorkerKind kind = worker.Kind();
          kind.m_label = "b";
          worker.Restart(kind);
        });
      }
    });
  }
  aCell.After(kLastCheck, [&aCell, accepted] { Judge(aCell, *accepted); });
}

} // namespace

int
main(int argc, char** argv)
{
  return review::RunCase(
    argc,
    argv,
    {},
    review::ConfigOf(1,
                     Json::array({ review::RouteOf("bridge", 2, 4.0, 3000) })),
    Play);
}
