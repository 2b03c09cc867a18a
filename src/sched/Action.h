/// What the daemon is to carry out after a decision.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "worker/WorkerMessages.h"

namespace lacewing::sched {

enum class ActionKind : std::uint8_t
{
  Start,
  Stop,
  Checkpoint, ///< Checkpoints and stops.
  Throttle,
  Unthrottle,
  /// Make the `started` mark of the task durable, then call `OnMarked`.
  MarkStarted,
};

struct Action
{
  ActionKind m_kind = ActionKind::Start;
  VmId m_worker;
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  Resources m_reserved;     ///< for `Start` and `MarkStarted`
  std::int64_t m_runMs = 0; ///< for `Start`: declared work that is left
};

/// The command for the worker. `MarkStarted` has none; the caller keeps it
/// away.
worker::Command
ToCommand(const Action& aAction);

} // namespace lacewing::sched

template<>
struct lacewing::EnumNames<lacewing::sched::ActionKind>
{
  using Kind = lacewing::sched::ActionKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::Start, std::string_view("start") },
    std::pair{ Kind::Stop, std::string_view("stop") },
    std::pair{ Kind::Checkpoint, std::string_view("checkpoint") },
    std::pair{ Kind::Throttle, std::string_view("throttle") },
    std::pair{ Kind::Unthrottle, std::string_view("unthrottle") },
    std::pair{ Kind::MarkStarted, std::string_view("mark_started") },
  };
};
