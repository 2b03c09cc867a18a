#include "edge/ConfigWatch.h"

#include "platform/Documents.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// Longest time that the store holds one watch request open. The client times
/// out later than that, which detects a connection that no longer responds.
constexpr Duration kWatchWait = milliseconds(1000);
constexpr Duration kWatchTimeout = milliseconds(1700);
constexpr Duration kRetryDelay = milliseconds(150);

} // namespace

ConfigWatch::ConfigWatch(net::Loop& aLoop,
                         platform::TableStore& aStore,
                         observe::Log& aLog,
                         ConfigHooks aHooks)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_log(aLog)
  , m_hooks(std::move(aHooks))
{
}

void
ConfigWatch::Read()
{
  m_scanBegan = net::Loop::Now();
  m_scan = std::make_shared<TableScan>(
    m_loop,
    m_store,
    platform::kOperatorPrefix,
    m_seenVersion,
    [this](const platform::PageResult& aPage, bool aFirst) {
      OnPage(aPage, aFirst);
    },
    [this] { OnRead(); });
  m_scan->Start();
}

void
ConfigWatch::OnPage(const platform::PageResult& aPage, bool aFirst)
{
  if (aFirst) {
    m_readTime = std::min(m_readTime, net::Loop::Now() - m_scanBegan);
    m_scannedEvacuations.clear();
    m_scannedConfig.reset();
    // Changes after the first page are seen by the watch.
    m_seenVersion = aPage.m_version;
  }
  for (const auto& [key, row] : aPage.m_read.m_rows) {
    if (key == platform::kConfigKey) {
      m_scannedConfig = row;
    } else if (const auto domain = platform::EvacuatedDomain(key)) {
      m_scannedEvacuations.insert(*domain);
    }
  }
}

void
ConfigWatch::OnRead()
{
  // Before the configuration, with which this daemon may begin to lead.
  SetEvacuations(std::move(m_scannedEvacuations));
  if (m_scannedConfig) {
    ApplyConfig(*m_scannedConfig);
  }
  Watch();
}

void
ConfigWatch::Watch()
{
  m_store.ReadChanges(
    platform::kOperatorTable,
    m_seenVersion,
    kWatchWait,
    kWatchTimeout,
    [this](const platform::Changes& aChanges) {
      if (aChanges.m_historyTruncated) {
        Read();
        return;
      }
      if (!aChanges.m_ok) {
        // The lost response may have contained a change: read the rows again.
        m_loop.After(kRetryDelay, [this] { Read(); });
        return;
      }
      for (const platform::ChangedRow& change : aChanges.m_rows) {
        ApplyChange(change);
      }
      m_seenVersion = std::max(m_seenVersion, aChanges.m_version);
      Watch();
    });
}

void
ConfigWatch::ApplyChange(const platform::ChangedRow& aChange)
{
  if (aChange.m_key == platform::kConfigKey) {
    if (!aChange.m_deleted) {
      ApplyConfig(aChange.m_row);
    }
    return;
  }
  const auto domain = platform::EvacuatedDomain(aChange.m_key);
  if (!domain) {
    return;
  }
  std::set<DomainId> domains = m_evacuations;
  if (aChange.m_deleted) {
    domains.erase(*domain);
  } else {
    domains.insert(*domain);
  }
  SetEvacuations(std::move(domains));
}

void
ConfigWatch::SetEvacuations(std::set<DomainId> aDomains)
{
  if (aDomains == m_evacuations) {
    return;
  }
  m_evacuations = std::move(aDomains);
  std::string names;
  for (const DomainId& domain : m_evacuations) {
    names += (names.empty() ? "" : ",") + domain.Value();
  }
  m_log.Write(settings::LogLevel::Info,
              "evacuations",
              { { "domains", names },
                { "seen_version", static_cast<std::int64_t>(m_seenVersion) } });
  m_hooks.m_onEvacuations(m_evacuations);
}

void
ConfigWatch::ApplyConfig(const table::Row& aRow)
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(config, platform::DecodeConfig(aRow.m_value));
      if (config.m_version <= m_config.m_version) {
        return {};
      }
      m_config = std::move(config);
      m_log.Write(
        settings::LogLevel::Info,
        "config_in_force",
        { { "version", static_cast<std::int64_t>(m_config.m_version) },
          { "row_version", static_cast<std::int64_t>(aRow.m_version) },
          { "queues", static_cast<std::int64_t>(m_config.m_queues.size()) },
          { "teams", static_cast<std::int64_t>(m_config.m_teams.size()) } });
      m_hooks.m_onConfig(m_config);
      return {};
    },
    [&](const Error& aError) {
      m_log.Write(
        settings::LogLevel::Error,
        "config_refused",
        { { "row_version", static_cast<std::int64_t>(aRow.m_version) },
          { "message", aError.m_message } });
    },
    [] {});
}

} // namespace lacewing::edge
