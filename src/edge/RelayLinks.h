/// The leader's side of the relays: keeps a connection to each of them, sends
/// orders in frames, and ends each call with its answer or in doubt.
#pragma once

#include "core/Time.h"
#include "net/FrameConnection.h"
#include "net/Loop.h"
#include "net/PacedTimer.h"
#include "observe/Log.h"
#include "relay/OpenCalls.h"
#include "relay/RelayChoice.h"
#include "relay/RelayFrames.h"

#include <map>
#include <memory>

namespace lacewing::edge {

/// Why a connection to a relay has ended.
enum class RelayLoss : std::uint8_t
{
  Closed,     ///< by the relay, or it could not be made
  Silent,     ///< no frame has come for too long
  Unanswered, ///< no worker has answered through it for too long
  Congested,  ///< too many bytes wait to be sent
  NotNeeded,  ///< another daemon is used in its place
};

class RelayLinks
{
public:
  RelayLinks(net::Loop& aLoop,
             observe::Log& aLog,
             VmId aSelf,
             std::uint64_t aTerm);
  ~RelayLinks();
  RelayLinks(const RelayLinks&) = delete;
  RelayLinks& operator=(const RelayLinks&) = delete;

  /// The peer has contacted this daemon and can be a relay.
  void OnPeerSeen(Time aNow, const relay::RelayPeer& aPeer);
  /// The workers of each failure domain.
  void SetWorkers(relay::WorkerCounts aWorkers);
  /// How late this process's event loop is.
  void SetStandingLag(Duration aLag) { m_standingLag = aLag; }

  /// Passes the command to the worker's relay. The call ends exactly once, at
  /// the latest some time after the timeout, unless this object is destroyed.
  /// False if the worker has no relay at present; then nothing was done.
  bool Call(const DomainId& aDomain,
            const net::Address& aAddress,
            relay::Command aCommand,
            Duration aTimeout,
            relay::OpenCalls::Done aDone);

  /// Relays that can take orders at present.
  std::size_t UsableCount() const;

private:
  struct Link;
  using Loss = RelayLoss;

  void Tick();
  /// Judges the link by what has come since the last tick.
  void TickLink(Time aNow, Link& aLink);
  /// Connects to the daemons that are chosen, and ends the links to others.
  void Rechoose(Time aNow);
  void Connect(const relay::RelayPeer& aPeer);
  void OnFrame(Link& aLink, std::string_view aFrame);
  void Flush(Link& aLink);
  /// The connection has ended or is given up.
  void Lose(const VmId& aVm, Loss aReason);
  bool IsUsable(const Link& aLink) const;
  void UpdateRoutes();

  net::Loop& m_loop;
  observe::Log& m_log;
  VmId m_self;
  std::uint64_t m_term;
  Duration m_standingLag{};
  relay::RelayChoice m_choice;
  relay::RelayRoutes m_routes;
  relay::WorkerCounts m_workers;
  std::map<VmId, std::shared_ptr<Link>> m_links;
  Time m_nextChoice{};
  net::PacedTimer m_ticker;
};

} // namespace lacewing::edge

template<>
struct lacewing::EnumNames<lacewing::edge::RelayLoss>
{
  using Loss = lacewing::edge::RelayLoss;
  static constexpr std::array kTable = {
    std::pair{ Loss::Closed, std::string_view("closed") },
    std::pair{ Loss::Silent, std::string_view("silent") },
    std::pair{ Loss::Unanswered, std::string_view("unanswered") },
    std::pair{ Loss::Congested, std::string_view("congested") },
    std::pair{ Loss::NotNeeded, std::string_view("not_needed") },
  };
};
