// A machine of the system freezes for a few seconds, three times. Clients whose
// submission isn't answered within their time budget cancel it. Once the
// cancelling is acknowledged, no task of it may start over cancel_ms later.
#include "review/cell/Cell.h"

#include <csignal>

namespace {

using review::Answer;
using review::Cell;
using review::Json;

constexpr int kFreezes = 3;
constexpr double kFreezeSpacing = 20;
constexpr double kFrozenFor = 3.5;
/// Submissions that are handed in from the begin of each freeze on.
constexpr int kJobsInFreeze = 40;
constexpr double kJobSpacing = 1 / 38.7;
constexpr int kTaskMs = 6200;
constexpr std::int64_t kCancelMs = 3000;
constexpr lacewing::Duration kTimeBudget = lacewing::milliseconds(3000);
constexpr double kRetryPause = 0.2;
constexpr double kLastCheck = 66;

struct Client
{
  std::string m_id;
  int m_submitStatus = -1;
  int m_cancelStatus = 0;
  std::int64_t m_cancelledAtMs = 0;
};

using Clients = std::vector<Client>;

void
Cancel(Cell& aCell, const std::shared_ptr<Clients>& aClients, std::size_t aJob)
{
  aCell.Call("DELETE",
             "/bridge/" + (*aClients)[aJob].m_id,
             "",
             kTimeBudget,
             [&aCell, aClients, aJob](const Answer& aAnswer) {
               Client& client = (*aClients)[aJob];
               if (aAnswer.m_status / 100 == 2 || aAnswer.m_status == 410) {
                 client.m_cancelStatus = aAnswer.m_status;
                 client.m_cancelledAtMs = aCell.Log().ElapsedMs();
                 return;
               }
               aCell.After(kRetryPause, [&aCell, aClients, aJob] {
                 Cancel(aCell, aClients, aJob);
               });
             });
}

void
Submit(Cell& aCell, const std::shared_ptr<Clients>& aClients, std::size_t aJob)
{
  const Json step = { { "count", 2 },
                      { "cpu", 2000 },
                      { "mem_mb", 3600 },
                      { "estimate_ms", kTaskMs } };
  Json second = step;
  second["after"] = Json::array({ 0 });
  const Json body = { { "spec", std::to_string(kTaskMs) },
                      { "steps", Json::array({ step, second }) } };
  aCell.Call("POST",
             "/bridge/" + (*aClients)[aJob].m_id,
             body.dump(),
             kTimeBudget,
             [&aCell, aClients, aJob](const Answer& aAnswer) {
               (*aClients)[aJob].m_submitStatus = aAnswer.m_status;
               if (aAnswer.m_status == 0 || aAnswer.m_status == 502 ||
                   aAnswer.m_status == 504) {
                 Cancel(aCell, aClients, aJob);
               }
             });
}

void
Judge(Cell& aCell, const Clients& aClients)
{
  int accepted = 0;
  int cancelled = 0;
  int ranOn = 0;
  for (const Client& client : aClients) {
    accepted += client.m_submitStatus == 200 ? 1 : 0;
    cancelled += client.m_cancelStatus != 0 ? 1 : 0;
    std::int64_t lastStart = 0;
    for (const review::SeenStart& start : aCell.Runners().m_starts) {
      if (start.m_task.starts_with(client.m_id)) {
        lastStart = std::max(lastStart, start.m_atMs);
      }
    }
    if (client.m_cancelStatus != 0 &&
        lastStart > client.m_cancelledAtMs + kCancelMs) {
      ++ranOn;
      aCell.Log().Write("a task of " + client.m_id + " starts at " +
                        std::to_string(lastStart) + " ms; cancelled at " +
                        std::to_string(client.m_cancelledAtMs) + " ms with " +
                        std::to_string(client.m_cancelStatus));
    }
  }
  review::Finish(aCell,
                 ranOn > 0 ? 1 : 0,
                 std::to_string(accepted) + " accepted, " +
                   std::to_string(cancelled) + " cancelled, " +
                   std::to_string(ranOn) +
                   " of these started a task over 3 s after that");
}

/// Freezes a daemon that does not lead.
void
Freeze(Cell& aCell, int aDaemon)
{
  const int frozen = aDaemon == aCell.Leader() ? aDaemon + 1 : aDaemon;
  aCell.Kill(frozen, SIGSTOP);
  aCell.After(kFrozenFor, [&aCell, frozen] { aCell.Kill(frozen, SIGCONT); });
}

void
Play(Cell& aCell, bool aTrouble)
{
  const auto clients = std::make_shared<Clients>();
  clients->resize(std::size_t{ kFreezes } * kJobsInFreeze);
  for (int freeze = 0; freeze < kFreezes; ++freeze) {
    const double begin = freeze * kFreezeSpacing;
    if (aTrouble) {
      aCell.After(begin, [&aCell, freeze] { Freeze(aCell, 2 * freeze); });
    }
    for (int turn = 0; turn < kJobsInFreeze; ++turn) {
      const int number = freeze * kJobsInFreeze + turn;
      const auto job = static_cast<std::size_t>(number);
      (*clients)[job].m_id = review::JobId(job);
      aCell.After(begin + turn * kJobSpacing,
                  [&aCell, clients, job] { Submit(aCell, clients, job); });
    }
  }
  aCell.After(kLastCheck, [&aCell, clients] { Judge(aCell, *clients); });
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
