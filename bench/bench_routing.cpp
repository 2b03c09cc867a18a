/// Cost of the routing decisions: admissions and answers a second, and the 99th
/// percentile of one.
#include "routing/RequestRouter.h"
#include "table/GroupCommit.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>

namespace lacewing::routing {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kTeams = 6;
constexpr int kSlots = 8;

/// A router whose endpoints are all ready.
RequestRouter
MakeRouter(int aEndpoints)
{
  RouterOptions options;
  options.m_defaultAllotment = 1'000'000;
  options.m_refuseHopeless = false;
  RequestRouter router(Time(), options, kSeed);
  router.Adopt(Time(), {});
  std::vector<EndpointInfo> list;
  list.reserve(static_cast<std::size_t>(aEndpoints));
  for (int index = 0; index < aEndpoints; ++index) {
    list.push_back({ VmId("endpoint" + std::to_string(index)), kSlots });
  }
  for (const Action& action : router.UpdateEndpoints(Time(), list)) {
    router.OnEndpointStatus(Time(),
                            std::get<Probe>(action).m_query,
                            EndpointStatus{ kSlots, 0, false });
  }
  return router;
}

Request
MakeRequest(std::uint64_t aNumber, Time aNow)
{
  Request request;
  request.m_id = { VmId("front"), 1, aNumber };
  request.m_team = TeamId("team" + std::to_string(aNumber % kTeams));
  request.m_class = static_cast<RequestClass>(aNumber % kRequestClasses);
  request.m_deadline = aNow + seconds(20);
  return request;
}

struct Sent
{
  AttemptId m_attempt = 0;
  VmId m_endpoint;
};

void
Collect(const Actions& aActions, std::deque<Sent>& aSent)
{
  for (const Action& action : aActions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      aSent.push_back({ dispatch->m_attempt, dispatch->m_endpoint });
    }
  }
}

/// One iteration is an admission and an answer, with the given number of
/// requests in the queue.
void
AdmitAndAnswer(benchmark::State& aState)
{
  const int endpoints = static_cast<int>(aState.range(0));
  const auto queued = static_cast<std::uint64_t>(aState.range(1));
  RequestRouter router = MakeRouter(endpoints);
  std::deque<Sent> sent;
  std::uint64_t number = 0;
  Time now{};
  const auto fill = static_cast<std::uint64_t>(endpoints * kSlots) + queued;
  while (number < (queued == 0 ? 1 : fill)) {
    Collect(router.Admit(now, MakeRequest(++number, now)), sent);
  }
  std::vector<std::int64_t> nanoseconds;
  for (auto iteration : aState) {
    (void)iteration;
    now += Duration(250);
    const Request request = MakeRequest(++number, now);
    const auto begin = std::chrono::steady_clock::now();
    Collect(router.Admit(now, request), sent);
    const auto middle = std::chrono::steady_clock::now();
    const Sent next = sent.front();
    sent.pop_front();
    EndpointAnswer answer;
    answer.m_status = 200;
    Collect(router.OnEndpointAnswer(
              now, next.m_attempt, next.m_endpoint, std::move(answer)),
            sent);
    const auto end = std::chrono::steady_clock::now();
    nanoseconds.push_back((middle - begin).count());
    nanoseconds.push_back((end - middle).count());
  }
  const auto rank =
    static_cast<std::ptrdiff_t>(nanoseconds.size() - nanoseconds.size() / 100);
  std::nth_element(
    nanoseconds.begin(), nanoseconds.begin() + rank - 1, nanoseconds.end());
  aState.counters["p99_us"] =
    static_cast<double>(nanoseconds[static_cast<std::size_t>(rank - 1)]) / 1e3;
  aState.counters["decisions"] =
    benchmark::Counter(2.0 * static_cast<double>(aState.iterations()),
                       benchmark::Counter::kIsRate);
}

BENCHMARK(AdmitAndAnswer)
  ->ArgNames({ "endpoints", "queued" })
  ->Args({ 13, 0 })
  ->Args({ 50, 0 })
  ->Args({ 50, 1500 })
  ->Args({ 490, 0 })
  ->Args({ 490, 1500 });

/// One iteration adds a record; full batches are committed at once.
void
GroupCommitRecord(benchmark::State& aState)
{
  table::GroupCommit commit;
  Time now{};
  std::uint64_t number = 0;
  for (auto iteration : aState) {
    (void)iteration;
    commit.Add({ "request/team/" + std::to_string(++number),
                 0,
                 "nonce",
                 now + seconds(10) });
    if (number % 200 != 0) {
      continue;
    }
    now += milliseconds(5);
    const auto effects = commit.OnTick(now);
    table::CommitResult result;
    result.m_state = table::CommitState::Committed;
    commit.OnCommitResult(now, effects.m_commit->m_operation, result);
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(aState.iterations()));
}

BENCHMARK(GroupCommitRecord);

} // namespace

} // namespace lacewing::routing

BENCHMARK_MAIN();
