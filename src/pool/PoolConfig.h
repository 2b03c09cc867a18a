/// The desired state of a pool: queues, services and teams with their keys.
#pragma once

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "pool/Job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::pool {

/// Cost of asking the policy service which workers may run a step.
struct AdviceRule
{
  Duration m_decide{};   ///< fixed time for each request
  Duration m_each{};     ///< additional time for each worker in the request
  Duration m_validity{}; ///< of a ticket
};

struct QueueRule
{
  QueueId m_id;
  std::string m_host;
  std::string m_prefix; ///< of the path; the longest that matches counts
  ServiceId m_service;
  int m_priority = 0; ///< 0 comes first
  std::uint32_t m_attempts = 1;
  double m_slackFactor =
    1; ///< allowed time as a multiple of the longest chain of work
  Duration m_targetRuntime{}; ///< allowed time on top of that
  bool m_public = false;      ///< needs no key
  std::optional<AdviceRule> m_advice;
};

struct ServiceRule
{
  ServiceId m_id;
  bool m_checksCapacity = false; ///< its workers refuse tasks that do not fit
};

struct TeamRule
{
  TeamId m_id;
  std::vector<std::string> m_keys;
  double m_weight = 1; ///< share, and guaranteed rate in jobs a second
  Resources m_limit;   ///< 0 for unlimited
};

struct PoolConfig
{
  std::uint64_t m_version = 0;
  std::vector<QueueRule> m_queues;
  std::vector<ServiceRule> m_services;
  std::vector<TeamRule> m_teams;
  std::size_t m_maxBodyBytes = 256 * 1024;
};

/// The queue of a request: its host, and the longest prefix of its path.
const QueueRule*
FindQueue(const PoolConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath);
/// The queue of that name, or null.
const QueueRule*
FindQueue(const PoolConfig& aConfig, const QueueId& aQueue);
/// The team that has the key, or null.
const TeamRule*
FindTeamByKey(const PoolConfig& aConfig, std::string_view aKey);

} // namespace lacewing::pool
