#include "edge/JobLoader.h"

#include "core/TryDecode.h"

namespace lacewing::edge {

JobLoader::JobLoader(net::Loop& aLoop,
                     platform::TableStore& aStore,
                     observe::Log& aLog,
                     RowVersion aNotBefore,
                     OnDone aOnDone)
  : m_log(aLog)
  , m_onDone(std::move(aOnDone))
  , m_jobScan(
      aLoop,
      aStore,
      aNotBefore,
      [this](const std::string& aKey, const table::Row& aRow) {
        OnJobRow(aKey, aRow);
      },
      [this](RowVersion aReadFrom) {
        m_result.m_readFrom = aReadFrom;
        m_jobsRead = true;
        FinishIfRead();
      })
  , m_progressScan(std::make_shared<TableScan>(
      aLoop,
      aStore,
      pool::ProgressPrefix(),
      aNotBefore,
      [this](const platform::PageResult& aPage, bool) {
        OnProgressPage(aPage);
      },
      [this] {
        m_progressRead = true;
        FinishIfRead();
      }))
{
}

void
JobLoader::Start()
{
  m_jobScan.Start();
  m_progressScan->Start();
}

void
JobLoader::OnJobRow(const std::string& aKey, const table::Row& aRow)
{
  const pool::JobRowKey key = pool::ParseJobRowKey(aKey);
  if (key.m_cancellation) {
    m_result.m_cancelled.emplace(key.m_job,
                                 pool::DecodeCancellation(aRow.m_value));
  } else {
    m_jobRows[key.m_job] = aRow;
  }
}

void
JobLoader::OnProgressPage(const platform::PageResult& aPage)
{
  for (const auto& [key, row] : aPage.m_read.m_rows) {
    m_progressRows[pool::ParseJobRowKey(key).m_job] = row.m_value;
  }
}

void
JobLoader::FinishIfRead()
{
  if (!m_jobsRead || !m_progressRead) {
    return;
  }
  for (const auto& [id, row] : m_jobRows) {
    if (auto job = Join(id, row)) {
      m_result.m_jobs.push_back(std::move(*job));
    }
  }
  m_result.m_progressRows = m_progressRows.size();
  m_onDone(m_result);
}

std::optional<StoredJob>
JobLoader::Join(const JobId& aJob, const table::Row& aRow)
{
  auto job =
    TryDecode<pool::Job>([&] { return pool::DecodeJob(aJob, aRow.m_value); });
  if (!job) {
    LogUnreadable("job_row_unreadable", aJob);
    return std::nullopt;
  }
  pool::JobProgress progress;
  if (const auto it = m_progressRows.find(aJob); it != m_progressRows.end()) {
    auto decoded = TryDecode<pool::JobProgress>(
      [&] { return pool::DecodeProgress(it->second); });
    if (!decoded) {
      // Without its progress a job could run finished tasks again.
      LogUnreadable("progress_row_unreadable", aJob);
      return std::nullopt;
    }
    progress = std::move(*decoded);
  }
  return StoredJob{ std::move(*job), std::move(progress), aRow.m_version };
}

void
JobLoader::LogUnreadable(const char* aEvent, const JobId& aJob)
{
  m_log.Write(
    settings::LogLevel::Error, aEvent, { { "request", aJob.Value() } });
}

} // namespace lacewing::edge
