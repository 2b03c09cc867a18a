/// Sends one user's mix to the running entry daemons, open loop with seeded
/// arrivals, and checks every answer and verdict against what the stand-ins
/// counted.
#pragma once

#include "load/LoadReport.h"
#include "load/Mix.h"
#include "net/HttpClient.h"

#include <random>
#include <unordered_map>

namespace lacewing::load {

struct LoadOptions
{
  std::vector<net::Address> m_entries;
  /// Stand-in endpoints, whose counts of executions are checked at the end.
  std::vector<net::Address> m_endpoints;
  /// Stand-in workers, whose counts of task starts are checked at the end.
  std::vector<net::Address> m_workers;
  /// Sends service requests straight to the endpoints, as a baseline.
  bool m_direct = false;
  std::string m_key;
  double m_requestsPerSecond = 100.0;
  double m_jobsPerSecond = 0.0;
  Duration m_duration = seconds(10);
  std::uint64_t m_seed = 1;
};

class LoadRunner
{
public:
  LoadRunner(net::Loop& aLoop, Mix aMix, LoadOptions aOptions);

  /// Runs until every request has ended and every job is over or was waited
  /// for long enough.
  LoadReport Run();

private:
  enum class Ending : std::uint8_t
  {
    Open,
    Answered,
    NotRun,
    MayHaveRun,
  };

  /// How one send of a request failed.
  struct SendError
  {
    Error m_error;
    /// An entry daemon said so; otherwise the connection failed.
    bool m_fromEntry = false;
  };

  struct RequestState
  {
    const RequestKind* m_kind = nullptr;
    Time m_sent{};
    int m_sends = 0;
    Ending m_ending = Ending::Open;
    /// Errors of all sends, the last one included.
    std::vector<SendError> m_errors;
  };

  struct JobState
  {
    const JobKindShare* m_kind = nullptr;
    Time m_sent{};
    int m_sends = 0;
    std::string m_id; ///< empty until accepted
    bool m_over = false;
  };

  using Counts = std::unordered_map<std::string, int>;

  /// Counts of several stand-ins, added up as their answers come.
  struct CountSum
  {
    Counts m_counts;
    std::size_t m_waiting = 0; ///< stand-ins that have not answered yet
  };

  void ScheduleArrivals();
  void StartRequest();
  void SendRequest(const std::string& aToken);
  void OnAnswer(const std::string& aToken, const net::HttpOutcome& aOutcome);
  void FinishAnswered(const std::string& aToken,
                      const net::HttpResponse& aResponse);
  void FinishFailed(const std::string& aToken, const Error& aError);
  static bool DidNotRun(const RequestState& aRequest);
  static std::string ErrorsOf(const RequestState& aRequest);
  bool MayRepeat(const RequestState& aRequest, const Error& aError) const;

  void StartJob();
  void SendJob(const std::string& aToken);
  void OnJobAnswer(const std::string& aToken, const net::HttpOutcome& aOutcome);
  void PollJobs();
  void OnJobStatus(const std::string& aToken, const net::HttpOutcome& aOutcome);

  void FinishWhenDone();
  /// Runs the loop until all servers have answered or timed out. The path and
  /// the field of the answer have the same name.
  Counts ReadCounts(const std::vector<net::Address>& aServers,
                    const std::string& aName);
  static void AddCounts(const net::HttpOutcome& aOutcome,
                        const std::string& aName,
                        Counts& aCounts);
  void CheckExecutions();
  void CheckTaskStarts();
  void CheckToken(const std::string& aToken,
                  const RequestState& aRequest,
                  int aExecutions);
  void Violation(std::uint64_t& aCounter, std::string aDetail);
  const net::Address& NextTarget(bool aDirect);
  double Uniform();

  net::Loop& m_loop;
  net::HttpClient m_http;
  Mix m_mix;
  LoadOptions m_options;
  LoadReport m_report;
  std::mt19937_64 m_random;
  Time m_start{};
  bool m_arrivalsOver = false;
  bool m_loadOver = false; ///< everything has ended or was waited for
  std::uint64_t m_nextToken = 1;
  std::size_t m_openRequests = 0;
  std::size_t m_openJobs = 0;
  std::unordered_map<std::string, RequestState> m_requests;
  std::unordered_map<std::string, JobState> m_jobs;
};

} // namespace lacewing::load
