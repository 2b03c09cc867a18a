// Two submissions of which one task is done and all others fail, and then
// ordinary submissions. Usage: failing-tasks RECORD Ends with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the two submissions are left out. The cell is that of the second
// review.
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

/// Hands in the two submissions that can never be done: `attempts` is 3, and
/// all tasks but the first fail each time after 2.8 to 8 s of work.
void
SubmitFailing(Cell& aCell)
{
  constexpr int kWidth = 48;
  constexpr std::int64_t kFirstMs = 2400;
  constexpr std::int64_t kLaterMs = 370;
  constexpr int kTasksOfRunner = 16;
  aCell.Note("disruption: two submissions of 48 tasks, 47 of which fail");
  for (const std::uint64_t number : { 0x800, 0x801 }) {
    aCell.Submit("/customs-recon/" + JobId(number),
                 Submission({ { "ms", kFirstMs },
                              { "add", Json::array({ kLaterMs }) },
                              { "mod", kTasksOfRunner },
                              { "sound", 1 },
                              { "fail", 1000 } },
                            kWidth,
                            2000,
                            3400),
                 5000);
  }
}

/// Rule LOST: broken if an unfinished submission has nothing running for 3 s on
/// end, while the runners are idle.
Outcome
WatchForStuck(Cell& aCell, const std::vector<std::string>& aJobs)
{
  std::map<std::string, std::int64_t> idleSince;
  const std::int64_t until = aCell.Now() + 2 * kStuckMs;
  while (aCell.Now() < until) {
    for (const std::string& job : aJobs) {
      const Json runs = aCell.Runs(job);
      const bool idle = runs.at("running") == 0 && runs.at("all") == 0 &&
                        runs.at("done").get<int>() < kTasksOfEach;
      if (!idle) {
        idleSince.erase(job);
        continue;
      }
      const std::int64_t since =
        idleSince.emplace(job, aCell.Now()).first->second;
      if (aCell.Now() - since > kStuckMs) {
        aCell.Note("BROKEN: nothing of submission " + job +
                   " has run for 3 s, and all runners are idle");
        return Outcome::Broken;
      }
    }
    Cell::Sleep(50);
  }
  return Outcome::Held;
}

Outcome
Run(const std::string& aRecord)
{
  Cell cell(kRunners,
            kDaemons,
            aRecord,
            Config(3,
                   Json::array({ Route("customs-recon", 2, 4.0),
                                 Route("alloc-check", 0, 1.5) }),
                   Json::array({ Tenant("vpi-1", 0) })));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  const Json patient = Submission({ { "ms", 2000 } }, 2, 2000, 2000);
  const Json urgent = Submission({ { "ms", 800 } }, 2, 2800, 800);
  constexpr int kBefore = 30;
  for (int number = 0; number < kBefore; ++number) {
    cell.Submit("/customs-recon/" + JobId(0x700 + number), patient, 5000);
  }
  Cell::Sleep(5000);
  if (HasTrouble()) {
    SubmitFailing(cell);
  }
  Cell::Sleep(4500);
  constexpr int kAfter = 5;
  std::vector<std::string> jobs;
  for (int number = 0; number < kAfter; ++number) {
    jobs.push_back(JobId(0x900 + number));
    jobs.push_back(JobId(0xa00 + number));
    if (!cell.Submit(
          "/customs-recon/" + JobId(0x900 + number), patient, 5000) ||
        !cell.Submit("/alloc-check/" + JobId(0xa00 + number), urgent, 5000)) {
      throw Unusable{ "a submission was not accepted" };
    }
  }
  cell.Note("the traffic has ended");
  Cell::Sleep(kFinishMs);
  for (int number = 0; number < kAfter; ++number) {
    cell.StateOf("/customs-recon/" + JobId(0x900 + number));
    cell.StateOf("/alloc-check/" + JobId(0xa00 + number));
  }
  return WatchForStuck(cell, jobs);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: failing-tasks RECORD\n";
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
