#include "net/LoopLagProbe.h"

#include <algorithm>

namespace lacewing::net {

namespace {

/// Twenty values a second show a lag of 50 ms, at which somebody should look,
/// and cost next to nothing.
constexpr Duration kProbePeriod = milliseconds(50);

} // namespace

LoopLagProbe::LoopLagProbe(Loop& aLoop, OnLag aOnLag)
  : m_loop(aLoop)
  , m_onLag(std::move(aOnLag))
{
  Arm();
}

void
LoopLagProbe::Arm()
{
  const Time due = Loop::Now() + kProbePeriod;
  m_loop.After(kProbePeriod, [this, due] {
    // libevent counts from the start of the callbacks that are under way, so a
    // timer may run slightly before the time computed here.
    m_onLag(std::max(Loop::Now() - due, Duration::zero()));
    Arm();
  });
}

} // namespace lacewing::net
