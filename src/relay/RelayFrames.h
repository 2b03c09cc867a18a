/// What the leader of a pool and its relays exchange. A relay is an entry
/// daemon that calls workers in place of the leader: it decides nothing, passes
/// on orders and returns the answers.
///
/// Frames are encoded with protobuf. Each frame of the leader names its term,
/// so that a relay refuses the frames of a predecessor, and the relay's own
/// clock as the leader last heard it, so that the relay knows how old the
/// orders can be without comparing clocks of two VMs.
#pragma once

#include "core/Time.h"
#include "core/Verdict.h"
#include "net/Address.h"
#include "platform/WorkerClient.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing::relay {

/// Number of a call on one connection; increases from 1.
using CallId = std::uint64_t;

struct StartCommand
{
  pool::StartTask m_start;
  std::int64_t m_deadlineMs = 0; ///< end of the lease, on the worker's clock
};

using Command =
  std::variant<platform::LeaseExtension, StartCommand, pool::StopTask>;

/// A call to a worker that the relay is to make.
struct Order
{
  CallId m_call = 0;
  net::Address m_address;
  Duration m_timeout{}; ///< of the call to the worker
  Command m_command;
};

struct OrderFrame
{
  std::uint64_t m_term = 0;
  VmId m_leader;
  /// The relay's clock, as far as the leader knew it when it decided on the
  /// first of the orders.
  Time m_beat{};
  std::vector<Order> m_orders;
};

/// How a call to a worker has ended.
struct Answer
{
  CallId m_call = 0;
  platform::CommandState m_state = platform::CommandState::Unknown;
  pool::StartOutcome m_outcome = pool::StartOutcome::Unknown; ///< of a start
  std::optional<pool::Inventory> m_inventory; ///< of a lease extension
  std::int64_t m_clockMs = 0; ///< the worker's, in its answer to a start
};

struct AnswerFrame
{
  Time m_beat{};           ///< clock of the relay as it sent the frame
  Duration m_loopLag{};    ///< how late the relay's event loop is
  bool m_stopping = false; ///< the relay's process is about to end
  std::vector<Answer> m_answers;
};

std::string
EncodeOrders(const OrderFrame& aFrame);
std::string
EncodeAnswers(const AnswerFrame& aFrame);

/// Both decoders fail with `BadInput`, which describes the fault.
Result<OrderFrame>
DecodeOrders(std::string_view aBytes);
Result<AnswerFrame>
DecodeAnswers(std::string_view aBytes);

/// The worker that the command is for.
const pool::WorkerId&
WorkerOf(const Command& aCommand);

} // namespace lacewing::relay
