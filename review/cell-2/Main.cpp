// The cases of this review. Usage: cases NAME RECORD
// Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
#include "Cell.h"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string_view>

namespace {

using namespace cell;

constexpr int kDaemons = 3;
constexpr int kRunners = 6;
constexpr int kCpuOfRunner = 32'000;

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

Json
Step(int aCount, int aCpu, std::int64_t aEstimateMs)
{
  return { { "count", aCount },
           { "cpu", aCpu },
           { "mem_mb", 16 },
           { "estimate_ms", aEstimateMs } };
}

Json
Submission(const Json& aSpec, const Json& aSteps)
{
  return { { "spec", aSpec.dump() }, { "steps", aSteps } };
}

/// Rule LOST: watches the submissions for some time. Broken if one of them,
/// unfinished, has nothing running for 3 s on end. The caller makes sure that
/// its turn has come and that the runners have room.
Outcome
WatchForStuck(Cell& aCell,
              const std::vector<std::string>& aJobs,
              std::size_t aTasksOfEach,
              std::int64_t aForMs)
{
  std::map<std::string, std::int64_t> idleSince;
  const std::int64_t until = aCell.Now() + aForMs;
  while (aCell.Now() < until) {
    for (const std::string& job : aJobs) {
      const Json runs = aCell.Runs(job);
      const bool idle = runs.at("running").get<std::size_t>() == 0 &&
                        runs.at("done").get<std::size_t>() < aTasksOfEach;
      if (!idle) {
        idleSince.erase(job);
        continue;
      }
      const std::int64_t since =
        idleSince.emplace(job, aCell.Now()).first->second;
      if (aCell.Now() - since > kStuckMs) {
        aCell.Note("BROKEN: nothing of submission " + job +
                   " has run for 3 s; in all, " + runs.at("all").dump() +
                   " tasks run");
        return Outcome::Broken;
      }
    }
    Cell::Sleep(50);
  }
  return Outcome::Held;
}

/// A gang that can never be done, and then ordinary submissions.
Outcome
HopelessGang(const std::string& aRecord)
{
  const Json tenants = Json::array({ Tenant("vpi-1", 0) });
  Cell cell(kRunners,
            kDaemons,
            aRecord,
            Config(3,
                   Json::array({ Route("class-run", 1, 2.2),
                                 Route("customs-recon", 2, 4.0) }),
                   tenants));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  // Two steps, each of one task of 4 s.
  Json last = Step(1, 2000, 8000);
  last["after"] = Json::array({ 0 });
  const Json ordinary =
    Submission({ { "ms", 4000 } }, Json::array({ Step(1, 2000, 8000), last }));
  constexpr int kBefore = 20;
  constexpr int kAfter = 10;
  for (int number = 0; number < kBefore; ++number) {
    cell.Submit("/customs-recon/" + JobId(0x100 + number), ordinary, 5000);
  }
  Cell::Sleep(12'000);
  if (HasTrouble()) {
    // Two of its members fit on a runner, and there is one more than that.
    Json first = Step(2 * kRunners + 1, 15'000, 15'000);
    first["gang"] = true;
    Json next = Step(1, 9000, 15'000);
    next["after"] = Json::array({ 0 });
    cell.Note("disruption: a submission that can never be done");
    cell.Submit("/class-run/" + JobId(0x200),
                Submission({ { "ms", 15'000 } }, Json::array({ first, next })),
                5000);
  }
  std::vector<std::string> jobs;
  for (int number = 0; number < kAfter; ++number) {
    jobs.push_back(JobId(0x300 + number));
    if (!cell.Submit("/customs-recon/" + jobs.back(), ordinary, 5000)) {
      throw Unusable{ "a submission was not accepted" };
    }
  }
  cell.Note("the traffic has ended");
  Cell::Sleep(kFinishMs);
  for (const std::string& job : jobs) {
    cell.StateOf("/customs-recon/" + job);
  }
  return WatchForStuck(cell, jobs, 2, 6000);
}

/// A large submission: three wide steps of tasks that save their progress, one
/// step whose tasks end one after the other, and a last one after all of these.
constexpr int kEndsOnEachRunner = 4;

Json
LargeSubmission(int aNumber, int aWidth, int aSpread)
{
  constexpr int kCpuOfTask = 5;
  constexpr std::int64_t kLongMs = 32'000;
  constexpr std::int64_t kLaterMs = 300;
  constexpr std::int64_t kShortMs = 10'000;
  constexpr std::int64_t kBetweenEndsMs = 4500;
  constexpr std::int64_t kBetweenJobsMs = 112;
  Json wide = Step(aWidth, kCpuOfTask, kLongMs);
  wide["checkpointing"] = true;
  Json spread = Step(aSpread, kCpuOfTask, kShortMs);
  spread["max_per_server"] = kEndsOnEachRunner;
  Json last = Step(1, kCpuOfTask, 300);
  last["after"] = Json::array({ 0, 1, 2, 3 });
  const std::int64_t longMs = kLongMs + aNumber * kLaterMs;
  const std::int64_t shortMs = kShortMs + aNumber * kBetweenJobsMs;
  return Submission(
    { { "ms", Json::array({ longMs, longMs, longMs, shortMs, 300 }) },
      { "add", Json::array({ 0, 0, 0, kBetweenEndsMs, 0 }) },
      { "mod", kEndsOnEachRunner },
      { "save", true } },
    Json::array({ wide, wide, wide, spread, last }));
}

/// Large submissions at once; the store is down for 4.5 s while tasks end.
Outcome
LargeBatch(const std::string& aRecord)
{
  constexpr int kLarge = 50;
  constexpr int kWidth = 200;
  constexpr int kSpread = kEndsOnEachRunner * kRunners;
  constexpr std::size_t kTasks = 3 * kWidth + kSpread + 1;
  constexpr std::int64_t kDownMs = 4500;
  const Json tenants = Json::array({ Tenant("vpi-1", 0) });
  Cell cell(
    kRunners,
    kDaemons,
    aRecord,
    Config(3, Json::array({ Route("customs-recon", 2, 4.0) }), tenants));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  const std::int64_t begin = cell.Now();
  std::vector<std::string> jobs;
  for (int number = 0; number < kLarge; ++number) {
    jobs.push_back(JobId(0x400 + number));
    if (!cell.Submit("/customs-recon/" + jobs.back(),
                     LargeSubmission(number, kWidth, kSpread),
                     5000)) {
      throw Unusable{ "a submission was not accepted" };
    }
  }
  cell.Note("the traffic has ended");
  // On each runner a task of each submission ends every 4.5 s, those of
  // different submissions one after the other.
  Cell::Sleep(begin + 20'000 - cell.Now());
  cell.Note("running: " + cell.Runs("").at("all").dump());
  if (HasTrouble()) {
    cell.Fault("store=busy");
    Cell::Sleep(kDownMs);
    cell.Fault("store=works");
  } else {
    Cell::Sleep(kDownMs);
  }
  // All long tasks have ended some 53 s after the begin, if they run at once.
  Cell::Sleep(begin + 55'000 + kFinishMs - cell.Now());
  for (const std::string& job : jobs) {
    cell.StateOf("/customs-recon/" + job);
    cell.Note("done tasks of " + job + ": " + cell.Runs(job).at("done").dump() +
              " of " + std::to_string(kTasks));
  }
  cell.Note("running: " + cell.Runs("").at("all").dump());
  const Outcome outcome = WatchForStuck(cell, jobs, kTasks, 8000);
  // For the record only: what becomes of a new submission.
  const std::string small = "/customs-recon/" + JobId(0x500);
  if (cell.Submit(
        small,
        Submission({ { "ms", 300 } }, Json::array({ Step(1, 2000, 300) })),
        5000)) {
    Cell::Sleep(8000);
    cell.Note("a new submission is " + cell.StateOf(small));
  }
  return outcome;
}

/// Two submissions whose tasks all fail, and then ordinary submissions.
Outcome
FailingTasks(const std::string& aRecord)
{
  const Json tenants = Json::array({ Tenant("vpi-1", 0) });
  Cell cell(kRunners,
            kDaemons,
            aRecord,
            Config(3,
                   Json::array({ Route("customs-recon", 2, 4.0),
                                 Route("alloc-check", 0, 1.5) }),
                   tenants));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  const Json patient =
    Submission({ { "ms", 2000 } }, Json::array({ Step(2, 2000, 2000) }));
  const Json urgent =
    Submission({ { "ms", 800 } }, Json::array({ Step(2, 2800, 800) }));
  constexpr int kBefore = 30;
  constexpr int kAfter = 5;
  for (int number = 0; number < kBefore; ++number) {
    cell.Submit("/customs-recon/" + JobId(0x700 + number), patient, 5000);
  }
  Cell::Sleep(5000);
  if (HasTrouble()) {
    // Their tasks work for 2.4 to 8 s and fail then. They fill the runners.
    constexpr int kWidth = 48;
    constexpr std::int64_t kShortestMs = 2400;
    constexpr std::int64_t kLaterMs = 370;
    constexpr int kTasksOfRunner = 16;
    cell.Note("disruption: two submissions whose tasks all fail");
    for (const std::uint64_t number : { 0x800, 0x801 }) {
      cell.Submit("/customs-recon/" + JobId(number),
                  Submission({ { "ms", kShortestMs },
                               { "add", Json::array({ kLaterMs }) },
                               { "mod", kTasksOfRunner },
                               { "fail", 1000 } },
                             Json::array({ Step(kWidth, 2000, 3400) })),
                  5000);
    }
  }
  Cell::Sleep(4500);
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
  return WatchForStuck(cell, jobs, 2, 6000);
}

/// A runner is cut off as a submission that has waited is placed on it.
Outcome
WaitingCount(const std::string& aRecord)
{
  // The tenant may have one of these tasks running.
  const Json tenants = Json::array({ Tenant("vpi-1", 20'000) });
  Cell cell(kRunners,
            kDaemons,
            aRecord,
            Config(3, Json::array({ Route("class-run", 1, 2.2) }), tenants));
  cell.AwaitReady();
  Cell::Sleep(kStableWindowMs);
  constexpr std::int64_t kFirstMs = 7000;
  Json first = Step(1, 16'000, kFirstMs);
  first["required_label"] = "a";
  Json second = Step(1, 16'000, 2000);
  second["required_label"] = "b";
  const std::string one = JobId(0x601);
  const std::string two = JobId(0x602);
  cell.Submit("/class-run/" + one,
              Submission({ { "ms", kFirstMs } }, Json::array({ first })),
              3000);
  const std::int64_t accepted = cell.Now();
  if (!cell.Submit("/class-run/" + two,
                   Submission({ { "ms", 2000 } }, Json::array({ second })),
                   3000)) {
    throw Unusable{ "a submission was not accepted" };
  }
  Cell::Sleep(accepted + kFirstMs - 300 - cell.Now());
  if (HasTrouble()) {
    cell.Fault("runner=0&cut=1"); // the only runner of kind b
  }
  const std::int64_t cutAt = cell.Now();
  Outcome outcome = Outcome::Held;
  int wrong = 0;
  while (cell.Now() < cutAt + 8000) {
    const bool due = cell.Now() > accepted + kVisibleMs + 2000;
    const Json before = cell.Runs(two);
    for (int daemon = 0; due && daemon < cell.Daemons(); ++daemon) {
      const Answer answer = cell.Call(daemon, "GET", "/class-run/", "");
      const Json after = cell.Runs(two);
      const bool begun = after.at("running") != 0 || after.at("done") != 0;
      if (answer.m_status == 200 && answer.Field("waiting") == 0 && !begun) {
        ++wrong;
      }
    }
    if (HasTrouble() && cell.Now() > cutAt + 5500) {
      cell.Fault("runner=0&cut=0");
      break;
    }
    Cell::Sleep(200);
  }
  if (wrong > 0) {
    cell.Note("BROKEN: " + std::to_string(wrong) +
              " answers say that 0 submissions wait, and one has not begun");
    outcome = Outcome::Broken;
  }
  return outcome;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::map<std::string, std::function<Outcome(const std::string&)>> cases{
    { "hopeless-gang", HopelessGang },
    { "large-batch", LargeBatch },
    { "waiting-count", WaitingCount },
    { "failing-tasks", FailingTasks },
  };
  if (aCount != 3 || !cases.contains(aArguments[1])) {
    std::cerr << "usage: cases NAME RECORD\n";
    return static_cast<int>(Outcome::CannotRun);
  }
  try {
    const Outcome outcome = cases.at(aArguments[1])(aArguments[2]);
    std::cout << aArguments[1] << ": "
              << (outcome == Outcome::Broken ? "BROKEN"
                  : outcome == Outcome::Held ? "held"
                                             : "could not run")
              << std::endl;
    return static_cast<int>(outcome);
  } catch (const Unusable& problem) {
    std::cout << "could not run: " << problem.m_reason << std::endl;
    return static_cast<int>(Outcome::CannotRun);
  }
}
