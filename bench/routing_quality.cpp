/// Quality of the routing decisions under virtual time with fixed seeds: waits,
/// useful throughput, choice of endpoint, bytes between regions, group commit
/// and memory. Prints tables of Markdown.
#include "routing/RequestRouterImpl.h"
#include "routing/SliceChooser.h"
#include "table/GroupCommit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <queue>

namespace {

/// Bytes that are allocated at present, for the memory figures.
std::size_t gAllocated = 0; // NOLINT(readability-identifier-naming)
constexpr std::size_t kHeader = alignof(std::max_align_t);

} // namespace

void*
operator new(std::size_t aBytes)
{
  void* block = std::malloc(aBytes + kHeader); // NOLINT
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *static_cast<std::size_t*>(block) = aBytes;
  gAllocated += aBytes;
  return static_cast<char*>(block) + kHeader;
}

void
operator delete(void* aPointer) noexcept
{
  if (aPointer != nullptr) {
    void* block = static_cast<char*>(aPointer) - kHeader;
    gAllocated -= *static_cast<std::size_t*>(block);
    std::free(block); // NOLINT
  }
}

void
operator delete(void* aPointer, std::size_t /*aBytes*/) noexcept
{
  operator delete(aPointer);
}

namespace lacewing::routing {

namespace {

constexpr std::uint64_t kSeed = 20261204;

/// Baseline: first come, first served over all classes and teams; bounded, or
/// unbounded and serving also what is late.
class FirstComeQueue
{
public:
  explicit FirstComeQueue(QueueOptions aOptions)
    : m_max(aOptions.m_maxTotal)
  {
  }

  std::vector<QueuedRequest> Push(QueuedRequest aRequest)
  {
    if (m_queue.size() >= m_max) {
      return { std::move(aRequest) };
    }
    m_queue.push_back(std::move(aRequest));
    return {};
  }
  void PushBack(QueuedRequest aRequest)
  {
    m_queue.push_back(std::move(aRequest));
  }
  std::optional<QueuedRequest> Pop(const RequestQueue::MayStart& /*aMayStart*/)
  {
    QueuedRequest next = std::move(m_queue.front());
    m_queue.pop_front();
    return next;
  }
  std::vector<QueuedRequest> PopExpired(Time /*aTime*/) { return {}; }
  std::vector<QueuedRequest> Clear() { return {}; }
  void SetWeight(const TeamId& /*aTeam*/, double /*aWeight*/) {}
  std::size_t CountAhead(const Request& /*aRequest*/) const
  {
    return m_queue.size();
  }
  std::optional<Time> EarliestDeadline() const { return std::nullopt; }
  std::size_t size() const { return m_queue.size(); }

private:
  std::size_t m_max;
  std::deque<QueuedRequest> m_queue;
};

/// One kind of request of an offered load.
struct Kind
{
  RequestClass m_class{};
  double m_perSecond = 0.0;
  double m_serviceSeconds = 0.0;
  Duration m_deadline{};
};

struct Load
{
  std::vector<Kind> m_kinds;
  int m_endpoints = 50;
  int m_slots = 8;
  Duration m_length = seconds(60);
  /// Part of a second of service that a full endpoint adds to it.
  double m_slowdown = 0.0;
  double m_failures = 0.0; ///< part of the attempts that fail after their time
  int m_frontTries = 1;    ///< tries of the front after a "not run"
  double m_frontRatio = 0.1;
};

struct Outcome
{
  std::vector<double> m_waits[kRequestClasses]; ///< seconds, of dispatched
  std::vector<double> m_latencies;              ///< seconds, of useful answers
  std::uint64_t m_useful = 0;
  std::uint64_t m_offered = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_submitted = 0; ///< to the owner, with tries of the front
};

double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aPart)];
}

double
Mean(const std::vector<double>& aValues)
{
  double sum = 0.0;
  for (const double value : aValues) {
    sum += value;
  }
  return aValues.empty() ? 0.0 : sum / static_cast<double>(aValues.size());
}

/// Runs a load against one router.
template<typename Queue, typename Choice>
class Simulation
{
public:
  Simulation(Load aLoad, RouterOptions aOptions)
    : m_load(std::move(aLoad))
    , m_random(kSeed)
    , m_router(Time(), WithAllotment(aOptions), kSeed)
    , m_frontBudget(m_load.m_frontRatio, 10.0)
  {
    m_router.Adopt(Time(), {});
    std::vector<EndpointInfo> list;
    list.reserve(static_cast<std::size_t>(m_load.m_endpoints));
    for (int index = 0; index < m_load.m_endpoints; ++index) {
      list.push_back({ VmId("e" + std::to_string(index)), m_load.m_slots, 64 });
    }
    Apply(m_router.UpdateEndpoints(Time(), list));
    for (std::size_t kind = 0; kind < m_load.m_kinds.size(); ++kind) {
      PlanArrival(kind);
    }
    Every10Ms();
  }

  Outcome Run()
  {
    while (!m_events.empty() &&
           m_events.top().m_at <= Time() + m_load.m_length) {
      auto next = m_events.top();
      m_events.pop();
      m_now = next.m_at;
      next.m_run();
    }
    m_outcome.m_submitted = m_number;
    m_outcome.m_attempts = m_router.Counters().m_dispatched;
    return std::move(m_outcome);
  }

private:
  struct Event
  {
    Time m_at{};
    std::uint64_t m_order = 0;
    std::function<void()> m_run;

    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  struct Item
  {
    Time m_arrived{};
    std::size_t m_kind = 0;
    int m_tries = 0;
    Time m_deadline{};
  };

  static RouterOptions WithAllotment(RouterOptions aOptions)
  {
    aOptions.m_defaultAllotment = 1'000'000;
    return aOptions;
  }

  void At(Time aTime, std::function<void()> aRun)
  {
    m_events.push({ aTime, m_order++, std::move(aRun) });
  }

  double Exponential(double aMean)
  {
    return std::exponential_distribution<>(1.0 / aMean)(m_random);
  }

  void PlanArrival(std::size_t aKind)
  {
    const Kind& kind = m_load.m_kinds[aKind];
    At(m_now + detail::FromSeconds(Exponential(1.0 / kind.m_perSecond)),
       [this, aKind] {
         ++m_outcome.m_offered;
         Submit({ m_now, aKind, 1, m_now + m_load.m_kinds[aKind].m_deadline });
         m_frontBudget.OnRequest();
         PlanArrival(aKind);
       });
  }

  void Submit(const Item& aItem)
  {
    Request request;
    request.m_id = { VmId("f"), 1, ++m_number };
    request.m_team = TeamId("t" + std::to_string(m_number % 6));
    request.m_class = m_load.m_kinds[aItem.m_kind].m_class;
    request.m_deadline = aItem.m_deadline;
    request.m_idempotent = true;
    m_items[m_number] = aItem;
    Apply(m_router.Admit(m_now, request));
  }

  void Apply(const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        Start(*dispatch);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        Apply(m_router.OnEndpointStatus(
          m_now, probe->m_query, EndpointStatus{ m_load.m_slots, 0, false }));
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        OnRefused(*refuse);
      } else {
        OnAnswer(std::get<Answer>(action));
      }
    }
  }

  void Start(const Dispatch& aDispatch)
  {
    const Item item = m_items.at(aDispatch.m_request.m_number);
    const Kind& kind = m_load.m_kinds[item.m_kind];
    m_outcome.m_waits[static_cast<std::size_t>(kind.m_class)].push_back(
      detail::ToSeconds(m_now - item.m_arrived));
    const Endpoint* endpoint = m_router.Pool().Find(aDispatch.m_endpoint);
    const double busy =
      static_cast<double>(endpoint->m_flights - 1) / m_load.m_slots;
    const double service =
      Exponential(kind.m_serviceSeconds) * (1.0 + m_load.m_slowdown * busy);
    const bool fails =
      std::uniform_real_distribution<>()(m_random) < m_load.m_failures;
    At(m_now + detail::FromSeconds(service),
       [this, attempt = aDispatch.m_attempt, vm = aDispatch.m_endpoint, fails] {
         EndpointAnswer answer;
         answer.m_status = 200;
         // A failure is an answer that is cut: the slot is free again.
         answer.m_contentLength = fails ? 1 : 0;
         Apply(m_router.OnEndpointAnswer(m_now, attempt, vm, answer));
       });
  }

  void OnAnswer(const Answer& aAnswer)
  {
    const auto found = m_items.find(aAnswer.m_request.m_number);
    if (m_now <= found->second.m_deadline) {
      ++m_outcome.m_useful;
      m_outcome.m_latencies.push_back(
        detail::ToSeconds(m_now - found->second.m_arrived));
    }
    m_items.erase(found);
  }

  void OnRefused(const Refuse& aRefuse)
  {
    const auto found = m_items.find(aRefuse.m_request.m_number);
    Item item = found->second;
    m_items.erase(found);
    if (aRefuse.m_error.m_verdict != Verdict::NotRun ||
        item.m_tries >= m_load.m_frontTries || !m_frontBudget.TryRetry()) {
      return;
    }
    ++item.m_tries;
    At(m_now + milliseconds(20), [this, item] { Submit(item); });
  }

  void Every10Ms()
  {
    Apply(m_router.OnTick(m_now));
    At(m_now + milliseconds(10), [this] { Every10Ms(); });
  }

  Load m_load;
  std::mt19937_64 m_random;
  BasicRequestRouter<Queue, Choice> m_router;
  RetryBudget m_frontBudget;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  Time m_now{};
  std::uint64_t m_number = 0;
  std::unordered_map<std::uint64_t, Item> m_items;
  Outcome m_outcome;
};

template<typename Queue, typename Choice = LeastBusy>
Outcome
Simulate(const Load& aLoad, const RouterOptions& aOptions = {})
{
  return Simulation<Queue, Choice>(aLoad, aOptions).Run();
}

// ---- Interactive wait behind patient work ----

/// 400 slots; interactive work fills 30% of them, patient work 90%.
Load
MixedOverload()
{
  Load load;
  load.m_kinds = {
    { RequestClass::Interactive, 2400.0, 0.05, seconds(2) },
    { RequestClass::Patient, 1800.0, 0.2, seconds(30) },
  };
  return load;
}

void
PrintWait(const char* aName, const Outcome& aOutcome)
{
  const auto& waits =
    aOutcome.m_waits[static_cast<std::size_t>(RequestClass::Interactive)];
  std::printf("| %s | %.1f | %.1f | %.1f | %zu |\n",
              aName,
              1e3 * Mean(waits),
              1e3 * Percentile(waits, 0.5),
              1e3 * Percentile(waits, 0.99),
              waits.size());
}

void
CompareWaits()
{
  std::printf("\n## Interactive wait at 120%% offered load\n\n"
              "| queue | mean ms | p50 ms | p99 ms | dispatched |\n"
              "|---|---|---|---|---|\n");
  PrintWait("RequestQueue", Simulate<RequestQueue>(MixedOverload()));
  RouterOptions plain;
  plain.m_refuseHopeless = false;
  PrintWait("first come, first served",
            Simulate<FirstComeQueue>(MixedOverload(), plain));
}

// ---- Useful throughput in overload ----

/// 400 slots of 50 ms serve 8,000 requests a second.
Load
Overload(double aFactor)
{
  Load load;
  load.m_kinds = {
    { RequestClass::Interactive, 8000.0 * aFactor, 0.05, seconds(1) },
  };
  load.m_length = seconds(20);
  load.m_failures = 0.05;
  load.m_frontTries = 3;
  return load;
}

void
PrintThroughput(const char* aName,
                const std::function<Outcome(const Load&)>& aRun,
                double aFrontRatio)
{
  double first = 0.0;
  std::printf("| %s |", aName);
  for (const double factor : { 1.0, 2.0, 3.0 }) {
    Load load = Overload(factor);
    load.m_frontRatio = aFrontRatio;
    const Outcome outcome = aRun(load);
    const double useful =
      static_cast<double>(outcome.m_useful) / detail::ToSeconds(load.m_length);
    first = first == 0.0 ? useful : first;
    std::printf(" %.0f (%.3f; %.2f; %.2f) |",
                useful,
                useful / first,
                static_cast<double>(outcome.m_attempts) /
                  static_cast<double>(outcome.m_useful),
                static_cast<double>(outcome.m_submitted) /
                  static_cast<double>(outcome.m_offered));
  }
  std::printf("\n");
}

void
CompareThroughput()
{
  std::printf("\n## Useful answers a second (part of 1x; attempts per useful "
              "answer; submissions per offered request)\n\n| router | 1x | 2x "
              "| 3x |\n|---|---|---|---|\n");
  PrintThroughput(
    "RequestQueue, retry budget 10%",
    [](const Load& aLoad) { return Simulate<RequestQueue>(aLoad); },
    0.1);
  constexpr double kNoBudget = 1000.0;
  RouterOptions noBudget;
  noBudget.m_retryRatio = kNoBudget;
  noBudget.m_retryBurst = 1e9;
  PrintThroughput(
    "RequestQueue, no retry budget",
    [&](const Load& aLoad) { return Simulate<RequestQueue>(aLoad, noBudget); },
    kNoBudget);
  RouterOptions unbounded;
  unbounded.m_refuseHopeless = false;
  unbounded.m_queue.m_maxTotal = 1'000'000'000;
  PrintThroughput(
    "unbounded, first come, first served",
    [&](const Load& aLoad) {
      return Simulate<FirstComeQueue>(aLoad, unbounded);
    },
    0.1);
  unbounded.m_retryRatio = kNoBudget;
  unbounded.m_retryBurst = 1e9;
  PrintThroughput(
    "unbounded, no retry budget",
    [&](const Load& aLoad) {
      return Simulate<FirstComeQueue>(aLoad, unbounded);
    },
    kNoBudget);
}

// ---- Choice of endpoint ----

/// The Guild's mix at 54% of the slots before the slowdown: quick quotes,
/// bridge checks and full-sheet proofs. A full endpoint is slower by half,
/// since its requests share processors.
Load
GuildMix()
{
  Load load;
  load.m_kinds = {
    { RequestClass::Interactive, 1200.0, 0.02, seconds(5) },
    { RequestClass::Patient, 700.0, 0.1, seconds(30) },
    { RequestClass::Patient, 60.0, 2.0, seconds(30) },
  };
  load.m_slowdown = 0.5;
  return load;
}

template<typename Choice>
void
PrintChoice(const char* aName, double& aBase)
{
  const Outcome outcome = Simulate<RequestQueue, Choice>(GuildMix());
  const double mean = Mean(outcome.m_latencies);
  aBase = aBase == 0.0 ? mean : aBase;
  std::printf("| %s | %.1f | %.1f | %.1f | %.3f | %.4f |\n",
              aName,
              1e3 * mean,
              1e3 * Percentile(outcome.m_latencies, 0.5),
              1e3 * Percentile(outcome.m_latencies, 0.99),
              mean / aBase,
              static_cast<double>(outcome.m_useful) /
                static_cast<double>(outcome.m_offered));
}

void
CompareChoices()
{
  std::printf("\n## Choice of endpoint: latency with the Guild's mix\n\n"
              "| choice | mean ms | p50 ms | p99 ms | mean over least busy | "
              "answered |\n|---|---|---|---|---|---|\n");
  double base = 0.0;
  PrintChoice<LeastBusy>("least busy", base);
  PrintChoice<BestOfTwo>("best of two", base);
  PrintChoice<RandomEndpoint>("random", base);
  PrintChoice<RoundRobin>("round robin", base);
}

// ---- Bytes between regions ----

std::uint64_t
CrossBytes(bool aPrefer)
{
  constexpr int kRequests = 100'000;
  constexpr std::uint64_t kRequestBytes = 4'000;
  constexpr std::uint64_t kAnswerBytes = 20'000;
  std::mt19937_64 random(kSeed);
  SliceChooser chooser(RegionId("here"), kSeed, aPrefer);
  std::uniform_real_distribution<> part;
  for (int request = 0; request < kRequests; ++request) {
    std::vector<SliceLoad> slices;
    slices.reserve(12);
    for (int index = 0; index < 12; ++index) {
      // Two domains here and one there, of four slices each; a slice is without
      // an owner for 1% of the time.
      slices.push_back({ SliceId("s" + std::to_string(index)),
                         VmId("o"),
                         RegionId(index < 8 ? "here" : "there"),
                         part(random),
                         part(random) >= 0.01 });
    }
    if (const auto chosen = chooser.Choose(slices, {})) {
      chooser.CountBytes(chosen->m_region, kRequestBytes + kAnswerBytes);
    }
  }
  return chooser.CrossRegionBytes();
}

void
CompareRegions()
{
  std::printf("\n## Bytes between regions, 100,000 requests of 24 KB\n\n"
              "| choice | MB |\n|---|---|\n");
  std::printf("| own region first | %.1f |\n",
              1e-6 * static_cast<double>(CrossBytes(true)));
  std::printf("| no preference | %.1f |\n",
              1e-6 * static_cast<double>(CrossBytes(false)));
}

// ---- Group commit ----

void
PrintGroupCommit(int aMembers, double aPerSecond)
{
  constexpr Duration kCommit = milliseconds(2);
  constexpr Duration kLength = seconds(20);
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<> gap(aPerSecond / aMembers);
  table::GroupCommitOptions options;
  options.m_maxBacklog = 1'000'000;
  table::GroupCommit commit(options);
  commit.SetMembers(aMembers);
  std::unordered_map<table::RecordId, Time> added;
  std::vector<double> latencies;
  std::uint64_t writes = 0;
  std::optional<std::pair<Time, table::OperationId>> open;
  Time nextAdd = Time() + detail::FromSeconds(gap(random));
  for (Time now{}; now < Time() + kLength; now += Duration(100)) {
    while (nextAdd <= now) {
      const auto record = commit.Add(
        { std::to_string(added.size()), 0, "v", now + seconds(3600) });
      added[*record] = nextAdd;
      nextAdd += detail::FromSeconds(gap(random));
    }
    table::GroupCommitEffects effects;
    if (open && open->first <= now) {
      table::CommitResult result;
      result.m_state = table::CommitState::Committed;
      const auto operation = std::exchange(open, std::nullopt)->second;
      effects = commit.OnCommitResult(now, operation, result);
    } else {
      effects = commit.OnTick(now);
    }
    for (const table::RecordResult& result : effects.m_results) {
      latencies.push_back(detail::ToSeconds(now - added.at(result.m_record)));
    }
    if (effects.m_commit) {
      ++writes;
      open = { now + kCommit, effects.m_commit->m_operation };
    }
  }
  std::printf("| %.0f | %d | %.1f | %.1f | %.1f | %.1f | %.0f | %zu |\n",
              aPerSecond,
              aMembers,
              static_cast<double>(latencies.size()) /
                static_cast<double>(std::max<std::uint64_t>(1, writes)),
              static_cast<double>(writes) * aMembers /
                detail::ToSeconds(kLength),
              1e3 * Mean(latencies),
              1e3 * Percentile(latencies, 0.99),
              static_cast<double>(latencies.size()) * aMembers /
                detail::ToSeconds(kLength),
              commit.size());
}

void
CompareGroupCommit()
{
  std::printf("\n## Group commit, a commit takes 2 ms\n\n"
              "| records a second, all fronts | fronts | records per write | "
              "writes a second, all fronts | mean ms | p99 ms | committed a "
              "second | left in one front |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (const int members : { 1, 9 }) {
    for (const double rate : { 100.0, 1000.0, 10'000.0 }) {
      PrintGroupCommit(members, rate);
    }
  }
}

// ---- Memory ----

QueuedRequest
MakeQueued(std::uint64_t aNumber)
{
  QueuedRequest queued;
  queued.m_request.m_id = { VmId("entry-vm-1"), 1, aNumber };
  queued.m_request.m_team = TeamId("team" + std::to_string(aNumber % 240));
  queued.m_request.m_deadline = Time() + Duration(aNumber);
  return queued;
}

template<typename Fill>
double
BytesPer(std::size_t aCount, const Fill& aFill)
{
  const std::size_t before = gAllocated;
  const auto kept = aFill(aCount);
  return static_cast<double>(gAllocated - before) / static_cast<double>(aCount);
}

void
MeasureMemory()
{
  std::printf(
    "\n## Bytes per item\n\n| items | queued request | seen request | "
    "endpoint | record in group commit |\n|---|---|---|---|---|\n");
  for (const std::size_t count : { 100, 1'000, 10'000 }) {
    const double queued = BytesPer(count, [](std::size_t aCount) {
      QueueOptions options;
      options.m_maxPerClass = { aCount, aCount, aCount };
      options.m_maxTotal = aCount;
      auto queue = std::make_unique<RequestQueue>(options);
      for (std::size_t index = 0; index < aCount; ++index) {
        queue->Push(MakeQueued(index));
      }
      return queue;
    });
    const double seen = BytesPer(count, [](std::size_t aCount) {
      auto set = std::make_unique<SeenRequests>();
      for (std::size_t index = 0; index < aCount; ++index) {
        set->Insert(Time(), MakeQueued(index).m_request.m_id);
      }
      return set;
    });
    const double endpoint = BytesPer(count, [](std::size_t aCount) {
      auto pool =
        std::make_unique<EndpointPool<LeastBusy>>(PoolOptions(), kSeed);
      std::vector<EndpointInfo> list;
      for (std::size_t index = 0; index < aCount; ++index) {
        list.push_back({ VmId("e" + std::to_string(index)) });
      }
      pool->Update(Time(), list);
      return pool;
    });
    const double record = BytesPer(count, [](std::size_t aCount) {
      auto commit = std::make_unique<table::GroupCommit>();
      for (std::size_t index = 0; index < aCount; ++index) {
        commit->Add({ "request/team/key" + std::to_string(index),
                      0,
                      std::string(60, 'v'),
                      Time() });
      }
      return commit;
    });
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f |\n",
                count,
                queued,
                seen,
                endpoint,
                record);
  }
}

} // namespace

} // namespace lacewing::routing

int
main()
{
  using namespace lacewing::routing;
  CompareWaits();
  CompareThroughput();
  CompareChoices();
  CompareRegions();
  CompareGroupCommit();
  MeasureMemory();
  return 0;
}
