// A gang that needs all runners, beside a long task on one of them, and then
// ordinary submissions. Usage: wide-gang RECORD Ends with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the gang is left out. The cell is that of the second review.
#include "../cell-2/Cell.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string_view>

namespace {

using namespace cell;

constexpr int kDaemons = 3;
constexpr int kRunners = 6;
constexpr int kTasksOfEach = 2;

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

Json
Submission(const Json& aSpec, int aCount, int aCpu, std::int64_t aEstimateMs)
{
  return { { "spec", aSpec.dump() },
           { "steps",
             Json::array({ Json{ { "count", aCount },
                                 { "cpu", aCpu },
                                 { "mem_mb", 16 },
                                 { "estimate_ms", aEstimateMs } } }) } };
}

/// Rule LOST: broken if an unfinished submission has nothing running for 3 s on
/// end, while no more than one task runs on all runners.
Outcome
WatchForStuck(Cell& aCell, const std::vector<std::string>& aJobs)
{
  std::map<std::string, std::int64_t> idleSince;
  const std::int64_t until = aCell.Now() + 2 * kStuckMs;
  while (aCell.Now() < until) {
    for (const std::string& job : aJobs) {
      const Json runs = aCell.Runs(job);
      const bool idle = runs.at("running") == 0 &&
                        runs.at("all").get<int>() <= 1 &&
                        runs.at("done").get<int>() < kTasksOfEach;
      if (!idle) {
        idleSince.erase(job);
        continue;
      }
      const std::int64_t since =
        idleSince.emplace(job, aCell.Now()).first->second;
      if (aCell.Now() - since > kStuckMs) {
        aCell.Note("BROKEN: nothing of submission " + job +
                   " has run for 3 s; on all runners " + runs.at("all").dump() +
                   " task runs");
        return Outcome::Broken;
      }
    }
    Cell::Sleep(50);
  }
  return Outcome::Held;
}

/// A gang of two steps, of 12 tasks of 15 cores each: two on each runner.
Json
Gang()
{
  constexpr int kStepMs = 15'000;
  Json first = { { "count", 12 },
                 { "cpu", 15'000 },
                 { "mem_mb", 16 },
                 { "estimate_ms", kStepMs },
                 { "gang", true } };
  Json last = first;
  last["after"] = Json::array({ 0 });
  return { { "spec", Json{ { "ms", kStepMs } }.dump() },
           { "steps", Json::array({ first, last }) } };
}

Outcome
Run(const std::string& aRecord)
{
  Cell cell(kRunners,
            kDaemons,
            aRecord,
            Config(3,
                   Json::array({ Route("class-run", 1, 2.2),
                                 Route("customs-recon", 2, 4.0) }),
                   Json::array({ Tenant("vpi-1", 0) })));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  const Json task = {
    { "count", 1 }, { "cpu", 2000 }, { "mem_mb", 16 }, { "estimate_ms", 8000 }
  };
  Json last = task;
  last["after"] = Json::array({ 0 });
  const Json ordinary = { { "spec", Json{ { "ms", 4000 } }.dump() },
                          { "steps", Json::array({ task, last }) } };
  constexpr int kBefore = 5;
  for (int number = 0; number < kBefore; ++number) {
    cell.Submit("/customs-recon/" + JobId(0x700 + number), ordinary, 5000);
  }
  Cell::Sleep(10'000);
  // 16 s of work on a runner of speed 0.8.
  cell.Submit("/class-run/" + JobId(0x7f0),
              Submission({ { "ms", 20'000 } }, 1, 9000, 16'000),
              5000);
  Cell::Sleep(300);
  if (HasTrouble()) {
    cell.Note("disruption: a gang that needs all runners");
    cell.Submit("/class-run/" + JobId(0x800), Gang(), 5000);
    Cell::Sleep(100);
  }
  constexpr int kAfter = 10;
  std::vector<std::string> jobs;
  for (int number = 0; number < kAfter; ++number) {
    jobs.push_back(JobId(0x900 + number));
    if (!cell.Submit("/customs-recon/" + jobs.back(), ordinary, 5000)) {
      throw Unusable{ "a submission was not accepted" };
    }
  }
  cell.Note("the traffic has ended");
  Cell::Sleep(kFinishMs);
  for (const std::string& job : jobs) {
    cell.StateOf("/customs-recon/" + job);
  }
  return WatchForStuck(cell, jobs);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: wide-gang RECORD\n";
    return static_cast<int>(Outcome::CannotRun);
  }
  try {
    const Outcome outcome = Run(aArguments[1]);
    std::cout << (outcome == Outcome::Broken ? "BROKEN" : "held") << std::endl;
    return static_cast<int>(outcome);
  } catch (const Unusable& problem) {
    std::cout << "could not run: " << problem.m_reason << std::endl;
    return static_cast<int>(Outcome::CannotRun);
  }
}
