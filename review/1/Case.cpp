// One submission of many short tasks ends while the store is down for a few
// seconds. None of its tasks may start again once it has ended done.
#include "review/cell/Cell.h"

namespace {

using review::Answer;
using review::Cell;
using review::Json;

constexpr int kTasks = 800;
constexpr int kRunMs = 1500;
constexpr double kDownAt = 1;
constexpr double kDownFor = 4.5;
constexpr double kLastCheck = 25;

void
Judge(Cell& aCell, int aStatus)
{
  std::map<std::string, std::int64_t> doneAt;
  for (const review::SeenEnd& end : aCell.Runners().m_ends) {
    if (end.m_how == "done" && end.m_noted) {
      const auto [it, fresh] = doneAt.try_emplace(end.m_task, end.m_atMs);
      it->second = std::min(it->second, end.m_atMs);
    }
  }
  int twice = 0;
  for (const review::SeenStart& start : aCell.Runners().m_starts) {
    const auto done = doneAt.find(start.m_task);
    if (done != doneAt.end() && start.m_atMs > done->second) {
      ++twice;
      aCell.Log().Write("starts at " + std::to_string(start.m_atMs) +
                        " ms, ended done at " + std::to_string(done->second) +
                        " ms: " + start.m_task + " run " +
                        std::to_string(start.m_run) + " on " + start.m_worker);
    }
  }
  const std::string text =
    "answer " + std::to_string(aStatus) + "; " + std::to_string(kTasks) +
    " tasks, " + std::to_string(aCell.Runners().m_starts.size()) + " starts, " +
    std::to_string(twice) +
    " of these after an end `done` that was taken note of";
  if (aStatus != 200) {
    review::Finish(aCell, 2, text);
    return;
  }
  review::Finish(aCell, twice > 0 ? 1 : 0, text);
}

void
Play(Cell& aCell, bool aTrouble)
{
  const Json body = { { "spec", std::to_string(kRunMs) },
                      { "steps",
                        { { { "count", kTasks },
                            { "cpu", 40 },
                            { "mem_mb", 60 },
                            { "estimate_ms", kRunMs } } } } };
  const auto status = std::make_shared<int>(0);
  aCell.Submit("bridge",
               review::JobId(1),
               body,
               [status](const Answer& aAnswer) { *status = aAnswer.m_status; });
  if (aTrouble) {
    aCell.After(kDownAt, [&aCell] {
      aCell.Log().Write("the store is down");
      aCell.Rows().SetDown(true);
    });
    aCell.After(kDownAt + kDownFor, [&aCell] {
      aCell.Log().Write("the store is back");
      aCell.Rows().SetDown(false);
    });
  }
  aCell.After(kLastCheck, [&aCell, status] { Judge(aCell, *status); });
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
