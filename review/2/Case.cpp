// Submissions come that can never be done. Others, whose runs fail twice, must
// still come to their end.
#include "review/cell/Cell.h"

namespace {

using review::Answer;
using review::Cell;
using review::Json;

constexpr int kHopeless = 14;
constexpr int kJobs = 40;
constexpr int kFailing = 4;
constexpr double kHopelessSpacing = 0.35;
constexpr double kJobsAt = 6;
constexpr double kJobSpacing = 0.05;
constexpr double kLastCheck = 45;
constexpr std::uint64_t kFirstHopeless = 1000;
constexpr std::int64_t kTicketMs = 1500;

Json
QuoteBody(const std::string& aSpec, int aMillicores, int aTasks)
{
  return { { "spec", aSpec },
           { "steps",
             { { { "count", aTasks },
                 { "cpu", aMillicores },
                 { "mem_mb", 2900 },
                 { "estimate_ms", 800 } } } } };
}

struct Progress
{
  int m_accepted = 0;
  int m_hopelessAccepted = 0;
};

void
Judge(Cell& aCell, const Progress& aProgress)
{
  int stuck = 0;
  std::size_t running = 0;
  for (const auto& worker : aCell.Workers()) {
    running += worker->Running();
  }
  for (int job = 0; job < kJobs; ++job) {
    for (int task = 0; task < 2; ++task) {
      const std::string name = review::JobId(static_cast<std::uint64_t>(job)) +
                               ".0.0." + std::to_string(task);
      if (!aCell.Runners().m_done.contains(name)) {
        ++stuck;
        aCell.Log().Write("never done: " + name + ", failed runs " +
                          std::to_string(aCell.Runners().m_failed[name]));
      }
    }
  }
  const std::string text =
    std::to_string(aProgress.m_accepted) + " submissions accepted, " +
    std::to_string(aProgress.m_hopelessAccepted) + " hopeless ones; " +
    std::to_string(stuck) + " tasks of the others are not done and " +
    std::to_string(running) + " tasks run on the whole pool";
  if (aProgress.m_accepted < kJobs) {
    review::Finish(aCell, 2, text);
    return;
  }
  review::Finish(aCell, stuck > 0 && running == 0 ? 1 : 0, text);
}

void
Play(Cell& aCell, bool aTrouble)
{
  aCell.SetPermitted(0.7);
  aCell.Runners().m_ticketValid = [&aCell](const std::string& aStep,
                                           const std::string&,
                                           const std::string& aTicket) {
    const std::size_t slash = aTicket.find('/');
    return slash != std::string::npos && aTicket.substr(slash + 1) == aStep &&
           aCell.Log().ElapsedMs() <
             std::stoll(aTicket.substr(0, slash)) + kTicketMs;
  };
  const auto progress = std::make_shared<Progress>();
  for (int job = 0; aTrouble && job < kHopeless; ++job) {
    aCell.After(job * kHopelessSpacing, [&aCell, progress, job] {
      // No runner has more than 32 cores.
      aCell.Submit(
        "quote",
        review::JobId(kFirstHopeless + static_cast<std::uint64_t>(job)),
        QuoteBody("800", 40'000, 1),
        [progress](const Answer& aAnswer) {
          progress->m_hopelessAccepted += aAnswer.m_status == 200 ? 1 : 0;
        });
    });
  }
  for (int job = 0; job < kJobs; ++job) {
    aCell.After(kJobsAt + job * kJobSpacing, [&aCell, progress, job] {
      const bool fails = job % (kJobs / kFailing) == 0;
      aCell.Submit("quote",
                   review::JobId(static_cast<std::uint64_t>(job)),
                   QuoteBody(fails ? "2600 fail=2" : "800", 2800, 2),
                   [progress](const Answer& aAnswer) {
                     progress->m_accepted += aAnswer.m_status == 200 ? 1 : 0;
                   });
    });
  }
  aCell.After(kLastCheck, [&aCell, progress] { Judge(aCell, *progress); });
}

} // namespace

int
main(int argc, char** argv)
{
  Json quote = review::RouteOf("quote", 0, 1.5, 500);
  quote["advice"] = { { "decide_ms", 9.3 },
                      { "each_ms", 0.13 },
                      { "valid_ms", kTicketMs } };
  return review::RunCase(
    argc, argv, {}, review::ConfigOf(1, Json::array({ quote })), Play);
}
