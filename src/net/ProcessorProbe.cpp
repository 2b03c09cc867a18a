#include "net/ProcessorProbe.h"

namespace lacewing::net {

namespace {

constexpr Duration kProbePeriod = milliseconds(100);
/// Some 10 us on a whole core: long beside the clock's resolution, short beside
/// one callback of the loop.
constexpr int kRounds = 8000;

} // namespace

ProcessorProbe::ProcessorProbe(Loop& aLoop, OnTaken aOnTaken)
  : m_loop(aLoop)
  , m_onTaken(std::move(aOnTaken))
{
  m_loop.Every(kProbePeriod, [this] { Measure(); });
}

void
ProcessorProbe::Measure()
{
  // Each round needs the one before, so that the time depends on the speed of
  // the core alone.
  constexpr std::uint64_t kFactor = 6364136223846793005U;
  const Time begin = Loop::Now();
  std::uint64_t value = m_value;
  for (int round = 0; round < kRounds; ++round) {
    value = value * kFactor + 1;
  }
  m_value = value;
  m_onTaken(Loop::Now() - begin);
}

} // namespace lacewing::net
