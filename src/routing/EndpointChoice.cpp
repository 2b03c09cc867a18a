#include "routing/EndpointChoice.h"

namespace lacewing::routing {

namespace {

/// Compares busy/slots without division.
bool
IsLessBusy(const EndpointCandidate& aLeft, const EndpointCandidate& aRight)
{
  return aLeft.m_busy * aRight.m_slots < aRight.m_busy * aLeft.m_slots;
}

/// Position of the first candidate after the index, or 0.
std::size_t
FirstAfter(std::span<const EndpointCandidate> aCandidates, std::size_t aIndex)
{
  for (std::size_t position = 0; position < aCandidates.size(); ++position) {
    if (aCandidates[position].m_index > aIndex) {
      return position;
    }
  }
  return 0;
}

std::size_t
RandomPosition(std::mt19937_64& aRandom, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

} // namespace

std::size_t
LeastBusy::Pick(std::span<const EndpointCandidate> aCandidates)
{
  const std::size_t start = FirstAfter(aCandidates, m_last);
  std::size_t best = start;
  for (std::size_t step = 1; step < aCandidates.size(); ++step) {
    std::size_t position = start + step;
    if (position >= aCandidates.size()) {
      position -= aCandidates.size();
    }
    if (IsLessBusy(aCandidates[position], aCandidates[best])) {
      best = position;
    }
  }
  m_last = aCandidates[best].m_index;
  return best;
}

std::size_t
BestOfTwo::Pick(std::span<const EndpointCandidate> aCandidates)
{
  const std::size_t first = RandomPosition(m_random, aCandidates.size());
  const std::size_t second = RandomPosition(m_random, aCandidates.size());
  return IsLessBusy(aCandidates[second], aCandidates[first]) ? second : first;
}

std::size_t
RandomEndpoint::Pick(std::span<const EndpointCandidate> aCandidates)
{
  return RandomPosition(m_random, aCandidates.size());
}

std::size_t
RoundRobin::Pick(std::span<const EndpointCandidate> aCandidates)
{
  const std::size_t position = FirstAfter(aCandidates, m_last);
  m_last = aCandidates[position].m_index;
  return position;
}

} // namespace lacewing::routing
