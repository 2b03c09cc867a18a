// A small deployment on loopback addresses: the stand-in for the platform, some
// entry daemons with the command of the deploy file, and a client.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace cell {

using Json = nlohmann::json;

/// Bounds of the site file, in milliseconds.
inline constexpr std::int64_t kConfigApplyMs = 2500;
inline constexpr std::int64_t kStableWindowMs = 4000;
inline constexpr std::int64_t kVisibleMs = 3000;
inline constexpr std::int64_t kFinishMs = 14'000;
/// A submission of which nothing runs for this long is stuck, by rule LOST.
inline constexpr std::int64_t kStuckMs = 3000;

enum class Outcome : int
{
  Held = 0,
  Broken = 1,
  CannotRun = 2,
};

struct Answer
{
  int m_status = 0; ///< 0 if there was none
  std::string m_body;

  /// A field of the body; null if there is none.
  Json Field(const char* aName) const;
};

/// Ends the test: it could not be run.
struct Unusable
{
  std::string m_reason;
};

class Cell
{
public:
  /// Starts the platform's stand-in and the daemons.
  Cell(int aRunners, int aDaemons, std::string aRecord, const Json& aConfig);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Waits until each daemon reports itself ready and one of them leads.
  void AwaitReady();
  std::int64_t Now() const;
  static void Sleep(std::int64_t aMs);
  void Note(const std::string& aText);

  /// A call of a client, at a daemon's `front` address.
  Answer Call(int aDaemon,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              bool aNoted = true);
  /// Hands a submission in, at one daemon after the other, until it is
  /// accepted or refused for good.
  bool Submit(const std::string& aPath, const Json& aBody, std::int64_t aForMs);
  /// The state that some daemon shows; empty if none does.
  std::string StateOf(const std::string& aPath);

  /// Asks the platform's stand-in: `running` and `done` tasks of the
  /// submission, and `all` that run.
  Json Runs(const std::string& aJob);
  void SetConfig(const Json& aConfig);
  void Fault(const std::string& aQuery);

  /// The daemon that leads; -1 if none does. Used to choose whom to kill only.
  int Leader();
  void Kill(int aDaemon);
  void Start(int aDaemon);
  int Daemons() const { return static_cast<int>(m_daemons.size()); }

private:
  Answer Send(int aPort,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              std::int64_t aTimeoutMs);
  int Spawn(const std::vector<std::string>& aCommand,
            const std::string& aSettings,
            const std::string& aOutput);
  void WriteSettings(int aDaemon);
  void StopAll();

  int m_base = 0;
  std::int64_t m_start = 0;
  std::string m_folder;
  std::string m_record;
  std::ofstream m_out;
  int m_platform = 0;
  std::vector<int> m_daemons;
};

/// A desired state of one service, its queues and one tenant for each key.
Json
Config(std::uint64_t aVersion, const Json& aRoutes, const Json& aTenants);
Json
Route(const std::string& aName, int aPriority, double aSlackFactor);
Json
Tenant(const std::string& aName, int aMaxCpu);
/// An id of 16 hexadecimal digits.
std::string
JobId(std::uint64_t aNumber);

} // namespace cell
