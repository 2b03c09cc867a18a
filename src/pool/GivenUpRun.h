/// A run that the leader no longer counts on, though no worker has reported its
/// end, and what it knew as it decided so.
#pragma once

#include "core/EnumNames.h"
#include "core/Time.h"
#include "pool/TrackedJob.h"

namespace lacewing::pool {

enum class GiveUpReason : std::uint8_t
{
  LeaseEnded,    ///< its lease is over by this leader's account
  Restarted,     ///< it was on a former incarnation of its worker
  NotListed,     ///< several inventories in a row do not list it
  StopConfirmed, ///< the worker refuses it, and does not list it
};

struct GivenUpRun
{
  WorkerId m_worker;
  TaskRef m_task;
  RunNumber m_run = 0;
  GiveUpReason m_reason = GiveUpReason::LeaseEnded;
  std::int64_t m_incarnation = 0; ///< of the worker, as far as known
  bool m_answered = false;        ///< the worker has answered the start
  bool m_listed = false;          ///< an inventory has listed it
  Duration m_age{};               ///< since the decision to start it
  Duration m_silence{};           ///< since the worker's last response
  Duration m_leaseLeft{};         ///< negative if it is over
};

} // namespace lacewing::pool

template<>
struct lacewing::EnumNames<lacewing::pool::GiveUpReason>
{
  using Reason = lacewing::pool::GiveUpReason;
  static constexpr std::array kTable = {
    std::pair{ Reason::LeaseEnded, std::string_view("lease_ended") },
    std::pair{ Reason::Restarted, std::string_view("restarted") },
    std::pair{ Reason::NotListed, std::string_view("not_listed") },
    std::pair{ Reason::StopConfirmed, std::string_view("stop_confirmed") },
  };
};
