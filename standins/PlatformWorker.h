/// Stand-in for one of the users' workers: runs tasks under a lease, with
/// fencing tokens and run numbers, and reports an inventory of runs and ends.
#pragma once

#include "net/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewing::standin {

class PlatformWorker
{
public:
  using Json = nlohmann::json;

  /// The incarnation is a Unix time in milliseconds; the worker's own clock
  /// starts at 1.
  PlatformWorker(std::string aId, std::int64_t aIncarnation);

  /// Executes a command at `aClockMs`, in milliseconds of the worker's clock,
  /// and returns the response.
  net::HttpResponse Handle(std::int64_t aClockMs,
                           const net::HttpRequest& aRequest);
  /// Ends the runs that are finished or whose lease has expired; true if a run
  /// ended.
  bool Advance(std::int64_t aClockMs);
  bool HasEnds() const { return !m_ended.empty(); }
  bool IsRunning(const std::string& aTask) const
  {
    return m_running.contains(aTask);
  }
  const std::string& Id() const { return m_id; }
  std::int64_t Incarnation() const { return m_incarnation; }
  Json Entry(const std::string& aAddress, std::int64_t aClockMs) const;
  /// Number of starts that the worker has executed, by task name.
  const std::map<std::string, int>& Starts() const { return m_starts; }

private:
  struct Run
  {
    std::uint64_t m_run = 0;
    std::int64_t m_startMs = 0;
    std::int64_t m_endMs = 0;
  };
  struct End
  {
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_how;
  };

  net::HttpResponse Start(std::int64_t aClockMs, const Json& aBody);
  net::HttpResponse Stop(std::int64_t aClockMs, const Json& aBody);
  net::HttpResponse HandleLeaseExtension(std::int64_t aClockMs,
                                         const Json& aBody);
  /// A lease never gets shorter, nor longer than the longest one.
  void Extend(std::int64_t aClockMs, std::int64_t aDeadlineMs);
  void Finish(const std::string& aTask, const char* aHow);
  static net::HttpResponse Refusal(std::int64_t aClockMs, const char* aReason);

  std::string m_id;
  std::int64_t m_incarnation;
  std::uint64_t m_fencingToken = 0;
  std::int64_t m_leaseMs = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::uint64_t>
    m_lastEndedRuns; ///< by task; no older run starts
  std::map<std::uint64_t, End> m_ended;
  std::uint64_t m_lastEnd = 0;
  std::map<std::string, int> m_starts;
};

} // namespace lacewing::standin
