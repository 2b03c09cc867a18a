/// The mixes of requests and jobs of the two users, for load runs.
#pragma once

#include "caller/CallerRequest.h"
#include "caller/JobSpec.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::load {

/// One kind of service request.
struct RequestKind
{
  std::string m_method;
  double m_share = 0.0; ///< part of all requests; the shares add up to 1
  RequestClass m_class = RequestClass::Interactive;
  bool m_idempotent = true;
  Duration m_deadline{};
};

/// One kind of job.
struct JobKindShare
{
  double m_share = 0.0; ///< part of all jobs; the shares add up to 1
  caller::JobSpec m_spec;
};

struct Mix
{
  std::string m_name;
  std::string m_service;
  std::vector<RequestKind> m_requests;
  std::vector<JobKindShare> m_jobs;
};

/// "vanigliera" or "guild"; nothing for another name.
std::optional<Mix>
FindMix(const std::string& aName);

/// Picks an entry by its share; `aPoint` is from 0 up to 1.
template<typename Entry>
const Entry&
PickByShare(const std::vector<Entry>& aEntries, double aPoint)
{
  for (const Entry& entry : aEntries) {
    if (aPoint < entry.m_share) {
      return entry;
    }
    aPoint -= entry.m_share;
  }
  return aEntries.back();
}

} // namespace lacewing::load
