/// Rules that pick one of the endpoints with a free slot.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

namespace lacewing::routing {

/// An endpoint with a free slot.
struct EndpointCandidate
{
  std::size_t m_index = 0; ///< in the pool
  int m_busy = 0;
  int m_slots = 0;
};

/// Picks the position of one of the candidates; there is at least one.
template<typename Choice>
concept EndpointChoice =
  requires(Choice aChoice, std::span<const EndpointCandidate> aCandidates)
{
  {
    aChoice.Pick(aCandidates)
    } -> std::convertible_to<std::size_t>;
};

/// The lowest part of busy slots; the least recently chosen among equals.
class LeastBusy
{
public:
  explicit LeastBusy(std::uint64_t /*aSeed*/ = 0) {}

  std::size_t Pick(std::span<const EndpointCandidate> aCandidates);

private:
  std::size_t m_last = 0;
};

/// The less busy of two candidates chosen at random.
class BestOfTwo
{
public:
  explicit BestOfTwo(std::uint64_t aSeed = 0)
    : m_random(aSeed)
  {
  }

  std::size_t Pick(std::span<const EndpointCandidate> aCandidates);

private:
  std::mt19937_64 m_random;
};

/// Any candidate, each with the same probability.
class RandomEndpoint
{
public:
  explicit RandomEndpoint(std::uint64_t aSeed = 0)
    : m_random(aSeed)
  {
  }

  std::size_t Pick(std::span<const EndpointCandidate> aCandidates);

private:
  std::mt19937_64 m_random;
};

/// The candidates in turn.
class RoundRobin
{
public:
  explicit RoundRobin(std::uint64_t /*aSeed*/ = 0) {}

  std::size_t Pick(std::span<const EndpointCandidate> aCandidates);

private:
  std::size_t m_last = 0;
};

} // namespace lacewing::routing
