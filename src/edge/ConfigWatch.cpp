#include "edge/ConfigWatch.h"

#include "platform/Documents.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// Longest time that the store holds one watch request open. The client times
/// out later than that, which detects a connection that no longer responds.
constexpr Duration kWatchWait = milliseconds(1000);
constexpr Duration kWatchTimeout = milliseconds(1700);
constexpr Duration kReadTimeout = milliseconds(800);
constexpr Duration kRetryDelay = milliseconds(150);

} // namespace

ConfigWatch::ConfigWatch(net::Loop& aLoop,
                         platform::TableStore& aStore,
                         observe::Log& aLog,
                         OnChange aOnChange)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_log(aLog)
  , m_onChange(std::move(aOnChange))
{
}

void
ConfigWatch::Read()
{
  const Time started = net::Loop::Now();
  m_store.ReadRow(platform::kConfigKey,
                  kReadTimeout,
                  [this, started](const platform::PageResult& aPage) {
                    if (!aPage.m_read.m_ok) {
                      m_loop.After(kRetryDelay, [this] { Read(); });
                      return;
                    }
                    m_readTime =
                      std::min(m_readTime, net::Loop::Now() - started);
                    for (const auto& [key, row] : aPage.m_read.m_rows) {
                      Apply(row);
                    }
                    m_seenVersion = aPage.m_version;
                    Watch();
                  });
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
        // The lost response may have contained a change: read the row again.
        m_loop.After(kRetryDelay, [this] { Read(); });
        return;
      }
      for (const platform::ChangedRow& change : aChanges.m_rows) {
        if (change.m_key == platform::kConfigKey && !change.m_deleted) {
          Apply(change.m_row);
        }
      }
      m_seenVersion = std::max(m_seenVersion, aChanges.m_version);
      Watch();
    });
}

void
ConfigWatch::Apply(const table::Row& aRow)
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
      m_onChange(m_config);
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
