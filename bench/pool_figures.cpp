/// Prints how long jobs of a large pool wait and what its decisions cost, for
/// several shares of the grown deployments' load: one run each, virtual time.
#include "fakes/PoolLoad.h"

#include <cstdio>

int
main()
{
  using namespace lacewing;
  std::printf("%6s %8s %8s %10s %10s %10s %10s %10s %10s\n",
              "load",
              "starts/s",
              "workers",
              "urgent50",
              "urgent95",
              "gang50",
              "gang95",
              "advice/s",
              "cpu/s");
  for (const double share : { 0.1, 0.25, 0.5, 0.75, 1.0, 1.25 }) {
    fakes::PoolLoadOptions options;
    options.m_kinds = fakes::GrownLoad(share);
    fakes::PoolLoad load(options);
    load.Run();
    const auto wait = [&](const pool::QueueId& aQueue, double aPart) {
      return static_cast<double>(load.WaitOf(aQueue, aPart).count()) / 1000;
    };
    const double length =
      std::chrono::duration<double>(options.m_length).count();
    std::printf(
      "%6.2f %8.0f %8zu %10.0f %10.0f %10.0f %10.0f %10.2f %10.4f\n",
      share,
      static_cast<double>(load.Starts()) / length,
      load.UsedWorkers(),
      wait(fakes::kUrgentQueue, 0.5),
      wait(fakes::kUrgentQueue, 0.95),
      wait(fakes::kPolicyQueue, 0.5),
      wait(fakes::kPolicyQueue, 0.95),
      std::chrono::duration<double>(load.AdviceTime()).count() / length,
      std::chrono::duration<double>(load.DecisionTime()).count() / length);
  }
}
