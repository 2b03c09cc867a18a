/// A leader of the pool in this process, with a store behind loopback HTTP.
#pragma once

#include "edge/PoolLeader.h"
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"

#include <memory>

namespace lacewing::fakes {

class LeaderCell : public StoreCell
{
public:
  LeaderCell()
    : m_log({})
    , m_workers(m_http)
    , m_adviceClient(m_workers, std::nullopt)
  {
    m_settings.m_leaseMax = seconds(6);
    m_settings.m_statusRetention = seconds(100);
  }
  ~LeaderCell()
  {
    if (m_leader) {
      m_leader->Close();
    }
  }
  LeaderCell(const LeaderCell&) = delete;
  LeaderCell& operator=(const LeaderCell&) = delete;

  /// How long ended jobs are kept; takes effect before the leadership begins.
  void SetStatusRetention(Duration aRetention)
  {
    m_settings.m_statusRetention = aRetention;
  }

  /// Begins a leadership whose claim has the store's present version.
  void Lead(std::uint64_t aTerm = 2)
  {
    edge::LeaderHooks hooks;
    hooks.m_onFenced = [] {};
    hooks.m_maySendCommands = [] { return true; };
    hooks.m_onUnsaved = [] {};
    pool::LeaderRow claim;
    claim.m_term = aTerm;
    m_leader = std::make_shared<edge::PoolLeader>(
      Context(), std::move(hooks), claim, Version(), PoolSample());
    m_leader->Start();
  }
  edge::PoolLeader& Leader() { return *m_leader; }

private:
  edge::LeaderContext Context()
  {
    return { m_loop,         m_http, m_store,   m_storeHealth, m_workers,
             m_adviceClient, m_log,  m_metrics, m_settings };
  }

  observe::Log m_log;
  observe::Metrics m_metrics;
  edge::StoreHealth m_storeHealth;
  platform::WorkerClient m_workers;
  edge::AdviceClient m_adviceClient;
  edge::EdgeSettings m_settings;
  std::shared_ptr<edge::PoolLeader> m_leader;
};

} // namespace lacewing::fakes
