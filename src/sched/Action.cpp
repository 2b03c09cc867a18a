#include "sched/Action.h"

namespace lacewing::sched {

namespace {

worker::CommandKind
CommandKindOf(ActionKind aKind)
{
  switch (aKind) {
    case ActionKind::Stop:
      return worker::CommandKind::Stop;
    case ActionKind::Checkpoint:
      return worker::CommandKind::Checkpoint;
    case ActionKind::Throttle:
      return worker::CommandKind::Throttle;
    case ActionKind::Unthrottle:
      return worker::CommandKind::Unthrottle;
    case ActionKind::Start:
    case ActionKind::MarkStarted:
      break;
  }
  return worker::CommandKind::Start;
}

} // namespace

worker::Command
ToCommand(const Action& aAction)
{
  worker::Command command;
  command.m_kind = CommandKindOf(aAction.m_kind);
  command.m_task = aAction.m_task;
  command.m_attempt = aAction.m_attempt;
  command.m_reserved = aAction.m_reserved;
  command.m_runMs = aAction.m_runMs;
  return command;
}

} // namespace lacewing::sched
