/// The control exchange between the owner of a slice and a worker: the owner
/// sends commands under its epoch, the worker answers with its inventory.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::worker {

enum class CommandKind : std::uint8_t
{
  Start,
  Stop,
  Checkpoint, ///< Checkpoints and stops the task.
  Throttle,
  Unthrottle,
};

struct Command
{
  CommandKind m_kind = CommandKind::Start;
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  Resources m_reserved;     ///< for `Start`
  std::int64_t m_runMs = 0; ///< for `Start`: work of the task
};

/// A numbered state of a worker's inventory.
struct InventoryBasis
{
  /// Random number that the worker process drew when it started; 0 in a
  /// request asks for the whole inventory.
  std::uint64_t m_instance = 0;
  std::uint64_t m_state = 0; ///< grows with each change of the inventory

  bool operator==(const InventoryBasis&) const = default;
};

/// One message from the owner. An empty list of commands renews the lease; a
/// higher epoch adopts the worker.
struct ControlRequest
{
  SliceId m_slice;
  Epoch m_epoch = 0;
  /// The token of the worker's latest answer; 0 for adoption. The worker's
  /// lease runs from the time it issued this token.
  std::uint64_t m_token = 0;
  /// Grows with each request of the sender under the epoch. A worker refuses a
  /// request that was overtaken by a later one, so that a delayed start cannot
  /// take effect after its sender has concluded that it did not. 0 is accepted
  /// only from senders that never number their requests.
  std::uint64_t m_sequence = 0;
  std::vector<Command> m_commands;
  /// Ended tasks up to this sequence number have been taken note of.
  std::uint64_t m_endedSeen = 0;
  /// The state that the sender has. Absent from a sender that does not know
  /// deltas: it gets whole inventories only.
  std::optional<InventoryBasis> m_inventory;
};

enum class TaskOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Stopped,
  Checkpointed,
  LeaseExpired,
};

struct RunningTask
{
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  Resources m_reserved;
  Resources m_used; ///< measured, lags behind
  bool m_throttled = false;

  bool operator==(const RunningTask&) const = default;
};

/// What changed in an inventory since an earlier state. Removals come first: a
/// task that ended and was started again is in `m_removed` and in `m_added`.
struct InventoryDelta
{
  std::uint64_t m_base = 0;  ///< the earlier state
  std::uint64_t m_count = 0; ///< tasks of the whole inventory
  std::uint64_t m_hash = 0;  ///< `InventoryHash` of the whole inventory
  std::vector<TaskId> m_removed;
  std::vector<RunningTask> m_added;
  std::vector<RunningTask> m_changed;
};

/// Which state a reply describes, and how.
struct InventoryState
{
  InventoryBasis m_at;
  /// Absent if the reply has the whole inventory in `m_running`.
  std::optional<InventoryDelta> m_delta;
};

struct EndedTask
{
  std::uint64_t m_sequence = 0;
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  TaskOutcome m_outcome = TaskOutcome::Succeeded;
};

struct ControlReply
{
  /// False when the epoch or the token is too old; no command was carried out.
  bool m_accepted = false;
  Epoch m_epoch = 0; ///< highest epoch seen
  std::uint64_t m_token = 0;
  /// Not sent with a delta; the owner has it from the whole inventory.
  Resources m_capacity;
  std::vector<RunningTask> m_running; ///< empty if the reply has a delta
  std::vector<EndedTask> m_ended;     ///< in the order of sequence numbers
  /// Absent from refusals and from workers that do not know deltas.
  std::optional<InventoryState> m_inventory;
};

std::string
EncodeRequest(const ControlRequest& aRequest);
std::string
EncodeReply(const ControlReply& aReply);
/// Errors: `BadInput` with what is wrong in the body.
Result<ControlRequest>
DecodeRequest(const std::string& aBody);
Result<ControlReply>
DecodeReply(const std::string& aBody);

} // namespace lacewing::worker

template<>
struct lacewing::EnumNames<lacewing::worker::CommandKind>
{
  using Kind = lacewing::worker::CommandKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::Start, std::string_view("start") },
    std::pair{ Kind::Stop, std::string_view("stop") },
    std::pair{ Kind::Checkpoint, std::string_view("checkpoint") },
    std::pair{ Kind::Throttle, std::string_view("throttle") },
    std::pair{ Kind::Unthrottle, std::string_view("unthrottle") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::worker::TaskOutcome>
{
  using Outcome = lacewing::worker::TaskOutcome;
  static constexpr std::array kTable = {
    std::pair{ Outcome::Succeeded, std::string_view("succeeded") },
    std::pair{ Outcome::Failed, std::string_view("failed") },
    std::pair{ Outcome::Stopped, std::string_view("stopped") },
    std::pair{ Outcome::Checkpointed, std::string_view("checkpointed") },
    std::pair{ Outcome::LeaseExpired, std::string_view("lease_expired") },
  };
};
