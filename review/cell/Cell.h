/// A small deployment on loopback: the project's entry daemons as processes of
/// their own, with stand-ins for the platform, the runners, the policy service
/// and the clients in this process.
#pragma once

#include "Record.h"
#include "Store.h"
#include "Worker.h"
#include "net/HttpClient.h"

#include <sys/types.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

struct CellSize
{
  int m_daemons = 9;
  int m_workers = 48;
};

/// An answer to a client; the status is 0 if there was none.
struct Answer
{
  int m_status = 0;
  std::string m_body;
};

class Cell
{
public:
  Cell(lacewing::net::Loop& aLoop,
       Record& aRecord,
       const std::string& aFolder,
       CellSize aSize);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Starts all processes; false if one can't start.
  bool Start(const Json& aConfig);
  /// Calls the function once all daemons are ready and one leads.
  void OnceReady(std::function<void()> aFunction);
  void After(double aSeconds, std::function<void()> aFunction);
  void SetConfig(const Json& aConfig);

  /// A call of a client at the next daemon in rotation.
  void Call(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            lacewing::Duration aDeadline,
            std::function<void(const Answer&)> aDone);
  /// Hands a submission in, with retries after no answer, 429, 502, 503 and
  /// 504, until it is accepted or refused for good.
  void Submit(const std::string& aQueue,
              const std::string& aId,
              const Json& aBody,
              std::function<void(const Answer&)> aDone);
  /// Asks for the state of a submission.
  void State(const std::string& aQueue,
             const std::string& aId,
             std::function<void(const Answer&)> aDone);

  /// Number of the daemon that leads; -1 if none is known.
  int Leader() const;
  void Kill(int aDaemon, int aSignal);
  bool StartDaemon(int aDaemon);
  bool IsRunning(int aDaemon) const;
  /// From now on a process over `memory_mb` is killed, and starts again.
  void EnforceMemory(std::size_t aMostMb);
  /// Processes that were over their memory, and the most that one had.
  int MemoryKills() const { return m_memoryKills; }
  std::size_t PeakMemoryMb() const { return m_peakMemoryMb; }

  lacewing::net::Loop& Loop() { return m_loop; }
  Record& Log() { return m_record; }
  Store& Rows() { return *m_store; }
  Fleet& Runners() { return m_fleet; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return m_workers; }
  /// Daemons that have ended without a signal of this case.
  int UnexpectedEnds() const { return m_unexpectedEnds; }
  /// Share of the runners that the policy permits for a step.
  void SetPermitted(double aShare) { m_permitted = aShare; }

private:
  struct Daemon
  {
    pid_t m_process = 0;
    lacewing::net::Address m_front;
    lacewing::net::Address m_ready;
    lacewing::net::Address m_control;
    int m_misses = 2;
    bool m_stopped = false;
  };

  std::string Settings(int aDaemon) const;
  void HandleAdvice(const lacewing::net::HttpRequest& aRequest,
                    const lacewing::net::HttpReply& aReply);
  bool IsPermitted(const std::string& aStep, const std::string& aWorker) const;
  void ProbeReadiness();
  void Reap();
  void CheckMemory(std::size_t aMostMb);
  static std::size_t MemoryMb(pid_t aProcess);
  std::optional<lacewing::net::Address> NextFront();

  lacewing::net::Loop& m_loop;
  Record& m_record;
  std::string m_folder;
  CellSize m_size;
  lacewing::net::HttpClient m_clients;
  std::unique_ptr<Store> m_store;
  std::unique_ptr<lacewing::net::HttpServer> m_policy;
  lacewing::net::Address m_policyAddress;
  Fleet m_fleet;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<Daemon> m_daemons;
  std::size_t m_nextFront = 0;
  int m_unexpectedEnds = 0;
  int m_memoryKills = 0;
  std::size_t m_peakMemoryMb = 0;
  double m_permitted = 1;
  Json m_config;
};

/// A free loopback address for each of `aCount` sockets.
std::vector<lacewing::net::Address>
FreeAddresses(std::size_t aCount);

/// The id of a submission.
std::string
JobId(std::uint64_t aNumber);

/// A desired state with these routes, one tenant and one service.
Json
ConfigOf(int aVersion, const Json& aRoutes);
/// A route; the client's calls name the loopback address as the host.
Json
RouteOf(const std::string& aName, int aPriority, double aSlack, int aTargetMs);

/// Runs the case until it calls `Finish`; `aCase` sets it up.
int
RunCase(int argc,
        char** argv,
        CellSize aSize,
        const Json& aConfig,
        const std::function<void(Cell&, bool aTrouble)>& aCase);
/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
void
Finish(Cell& aCell, int aCode, const std::string& aWhy);

} // namespace review
