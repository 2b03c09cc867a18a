/// Stand-in for one runner (PROTOCOL.md, "Running tasks"): runs tasks under a
/// lease and a fencing token, lists runs and ends, and keeps its entry in the
/// store. It starts whatever it is told to (`admission_check` is false).
#pragma once

#include "Record.h"
#include "Store.h"
#include "net/HttpServer.h"
#include "net/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// What one life of a runner says of itself.
struct WorkerKind
{
  std::string m_service = "die-proof";
  std::string m_zone = "lowell-a";
  std::string m_label = "a";
  std::string m_rack = "r1-0";
  std::int64_t m_millicores = 32000;
  std::int64_t m_memoryMb = 65536;
};

/// A start, as the runner has seen it.
struct SeenStart
{
  std::string m_worker;
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_label;
  std::int64_t m_atMs = 0;
};

/// An end, as the runner has seen it.
struct SeenEnd
{
  std::string m_worker;
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_how;
  std::int64_t m_atMs = 0;
  /// `last_seen` has reached it, and the runner's lease has not lapsed since.
  bool m_noted = false;
};

/// What the runners of a cell share.
struct Fleet
{
  std::vector<SeenStart> m_starts;
  std::vector<SeenEnd> m_ends;
  /// Ends by task and how; "done" counts.
  std::map<std::string, int> m_done;
  std::map<std::string, int> m_failed;
  /// True if the runner accepts the ticket of the step.
  std::function<bool(const std::string& aStep,
                     const std::string& aWorker,
                     const std::string& aTicket)>
    m_ticketValid;
  std::function<void(const SeenStart&)> m_onStart;
};

class Worker
{
public:
  Worker(lacewing::net::Loop& aLoop,
         Record& aRecord,
         Store& aStore,
         Fleet& aFleet,
         std::string aId,
         lacewing::net::Address aAddress,
         WorkerKind aKind);

  /// Begins a life: listens, and registers in the store.
  bool Start();
  /// Ends the process at once; its entry goes after three heartbeats.
  void Crash();
  /// Begins a new life under the same id, as a runner of this kind.
  bool Restart(const WorkerKind& aKind);

  const std::string& Id() const { return m_id; }
  const WorkerKind& Kind() const { return m_kind; }
  bool IsUp() const { return m_server != nullptr; }
  std::size_t Running() const { return m_running.size(); }

private:
  struct Run
  {
    std::uint64_t m_run = 0;
    std::int64_t m_startMs = 0;
    std::int64_t m_lengthMs = 0;
    bool m_fails = false;
    bool m_saves = false;
  };
  struct Hold
  {
    Json m_body;
    lacewing::net::HttpReply m_reply;
  };

  std::int64_t ClockMs() const;
  void Handle(const lacewing::net::HttpRequest& aRequest,
              const lacewing::net::HttpReply& aReply);
  Json Refusal(const char* aReason) const;
  void StartRun(const Json& aBody, const lacewing::net::HttpReply& aReply);
  void StopRun(const Json& aBody, const lacewing::net::HttpReply& aReply);
  void HoldRuns(const Json& aBody, const lacewing::net::HttpReply& aReply);
  Json Lists();
  void TakeNote(std::uint64_t aLastSeen);
  void ExtendLease(const Json& aBody);
  void End(const std::string& aTask, const std::string& aHow);
  void CheckLease();
  void AnswerHolds();
  void WriteEntry();
  std::string CheckpointOf(const Run& aRun) const;
  void After(lacewing::Duration aDelay, std::function<void()> aFunction);

  lacewing::net::Loop& m_loop;
  Record& m_record;
  Store& m_store;
  Fleet& m_fleet;
  std::string m_id;
  lacewing::net::Address m_address;
  WorkerKind m_kind;
  std::unique_ptr<lacewing::net::HttpServer> m_server;
  std::shared_ptr<int> m_life; ///< callbacks of earlier lives do nothing
  std::int64_t m_born = 0;
  lacewing::Time m_start{};
  std::uint64_t m_token = 0;
  std::int64_t m_leaseMs = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::uint64_t> m_endedRuns;
  struct ListedEnd
  {
    Json m_row;
    std::size_t m_seen = 0; ///< index in the fleet's ends
    int m_lapses = 0;       ///< of the lease, before the end
  };
  std::map<std::uint64_t, ListedEnd> m_ended;
  int m_lapses = 0;
  bool m_hasLease = false;
  std::uint64_t m_lastEnd = 0;
  std::map<std::uint64_t, Hold> m_holds;
  std::uint64_t m_nextHold = 1;
  std::uint64_t m_sequence = 0;
};

} // namespace review
