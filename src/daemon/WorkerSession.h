/// The exchanges with one worker: one at a time, so that each answer shows the
/// effect of all commands before it.
#pragma once

#include "daemon/Runtime.h"
#include "worker/InventoryView.h"

#include <functional>
#include <set>

namespace lacewing::daemon {

/// Called with each answer, which has the whole inventory; `aCommandsSent` are
/// those that were sent since the previous answer.
using ControlHandler =
  std::function<void(const worker::ControlOutcome& aOutcome,
                     const std::vector<worker::Command>& aCommandsSent)>;
/// The epoch and token for the next exchange; nothing while none may be sent.
struct Credentials
{
  Epoch m_epoch = 0;
  std::uint64_t m_token = 0;
};
using CredentialSource = std::function<std::optional<Credentials>()>;

class WorkerSession : public std::enable_shared_from_this<WorkerSession>
{
public:
  WorkerSession(Runtime& aRuntime,
                SliceId aSlice,
                net::Address aAddress,
                CredentialSource aCredentials,
                ControlHandler aHandler);

  /// Adds commands to the next exchange.
  void Enqueue(const worker::Command& aCommand);
  /// Asks for an exchange with the request's epoch and token, with or without
  /// commands: an adoption or a renewal.
  void Request(const worker::ControlRequest& aRequest);
  /// Asks for an exchange that only shows what runs; it renews the lease too.
  void Poll();
  /// Sends what is waiting, unless an exchange is under way.
  void Flush();
  /// True if something waits to be sent and no exchange is under way.
  bool NeedsFlush() const;
  /// Drops what is waiting and ignores the answer of the present exchange.
  void Close() { m_closed = true; }

  /// An ended task was made durable; the worker may forget it.
  void OnEndDurable(std::uint64_t aSequence);
  /// True if the ended task is not being made durable yet.
  bool NoteEnd(std::uint64_t aSequence);

private:
  void Send(worker::ControlRequest aRequest);
  void OnOutcome(const worker::ControlOutcome& aOutcome,
                 std::uint64_t aSequence);
  std::uint64_t EndedSeen() const;

  Runtime& m_runtime;
  SliceId m_slice;
  net::Address m_address;
  CredentialSource m_credentials;
  ControlHandler m_handler;
  std::vector<worker::Command> m_commands; ///< wait to be sent
  /// Sent since the handler was called last.
  std::vector<worker::Command> m_commandsSent;
  std::optional<worker::ControlRequest> m_request;
  bool m_busy = false;
  bool m_closed = false;
  std::uint64_t m_sequence = 0;
  worker::InventoryView m_inventory;
  /// The present exchange asks for the whole inventory, because that of the
  /// previous answer could not be used.
  bool m_askedAgain = false;
  std::set<std::uint64_t> m_endsPending; ///< reported, not yet durable
  std::uint64_t m_lastEnd = 0;           ///< highest that was reported
};

} // namespace lacewing::daemon
