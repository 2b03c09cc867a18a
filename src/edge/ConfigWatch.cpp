#include "edge/ConfigWatch.h"

#include "platform/Documents.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// Longest wait of one watch. A connection that has gone silent is noticed
/// after this and the timeout on top.
constexpr Duration kWatchWait = milliseconds(1000);
constexpr Duration kWatchTimeout = milliseconds(1700);
constexpr Duration kReadTimeout = milliseconds(800);
constexpr Duration kRetryPause = milliseconds(150);

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
  const Time asked = net::Loop::Now();
  m_store.ReadRow(platform::kConfigKey,
                  kReadTimeout,
                  [this, asked](const platform::PageResult& aPage) {
                    if (!aPage.m_read.m_ok) {
                      m_loop.After(kRetryPause, [this] { Read(); });
                      return;
                    }
                    m_readTime = std::min(m_readTime, net::Loop::Now() - asked);
                    for (const auto& [key, row] : aPage.m_read.m_rows) {
                      Take(row);
                    }
                    m_after = aPage.m_version;
                    Watch();
                  });
}

void
ConfigWatch::Watch()
{
  m_store.ReadChanges(
    platform::kOperatorTable,
    m_after,
    kWatchWait,
    kWatchTimeout,
    [this](const platform::Changes& aChanges) {
      if (aChanges.m_historyTruncated) {
        Read();
        return;
      }
      if (!aChanges.m_ok) {
        // The watch may have missed a change on its way.
        m_loop.After(kRetryPause, [this] { Read(); });
        return;
      }
      for (const platform::ChangedRow& change : aChanges.m_rows) {
        if (change.m_key == platform::kConfigKey && !change.m_deleted) {
          Take(change.m_row);
        }
      }
      m_after = std::max(m_after, aChanges.m_version);
      Watch();
    });
}

void
ConfigWatch::Take(const table::Row& aRow)
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
