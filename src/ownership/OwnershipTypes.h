/// Values that the ownership machines return: table operations, messages,
/// events. The daemon carries them out and reports the results.
#pragma once

#include "core/Ids.h"
#include "ownership/LimitRow.h"
#include "ownership/Steps.h"
#include "table/TableTypes.h"
#include "worker/WorkerMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::ownership {

/// Joins an operation and its result; unique within a process.
using OpId = std::uint64_t;

struct TableWrite
{
  OpId m_op = 0;
  Step m_step = Step::MemberWrite;
  table::Commit m_commit;
};

struct TableRead
{
  OpId m_op = 0;
  Step m_step = Step::ViewRead;
  table::Read m_read;
};

/// A joining member announces itself.
struct Hello
{
  Incarnation m_incarnation = 0;
  RegionId m_region;
};

struct HelloAnswer
{
  Incarnation m_incarnation = 0; ///< of the joining member
  std::uint64_t m_settingsVersion = 0;
};

struct OutageProbe
{
  std::uint64_t m_round = 0;
  Incarnation m_incarnation = 0;
};

struct Promise
{
  std::uint64_t m_round = 0;
  Incarnation m_incarnation = 0; ///< of the giver
  bool m_noTakeover = false; ///< neither deposes nor takes over the receiver
  bool m_noSettings = false; ///< accepts no setting change
  std::uint64_t m_settingsVersion = 0;
};

/// Asks a peer to renew the sender's row for it.
struct RelayRenewal
{
  RowVersion m_version = 0; ///< the commit checks it
  std::string m_row;
};

/// The sender's row as the relaying peer knows it.
struct RelayAnswer
{
  RowVersion m_version = 0;
  std::string m_row;
};

/// Tells the next owner to read the view at once.
struct SliceReleased
{
  SliceId m_slice;
};

using PeerMessage = std::variant<Hello,
                                 HelloAnswer,
                                 OutageProbe,
                                 Promise,
                                 RelayRenewal,
                                 RelayAnswer,
                                 SliceReleased>;

struct PeerSend
{
  VmId m_to;
  Step m_step = Step::HelloSend;
  PeerMessage m_message;
};

struct WorkerSend
{
  VmId m_worker;
  Step m_step = Step::WorkerAdopt;
  worker::ControlRequest m_request;
};

enum class EventKind : std::uint8_t
{
  BecameActive,
  AuthorityEnded, ///< stop acting on all slices
  Deposed,        ///< the member joins again with a new incarnation
  SliceClaimed,   ///< read the slice's jobs
  SliceOpened,    ///< starts may begin
  SliceLost,      ///< released or no longer owned: forget the slice
  WorkerAdopted,  ///< `m_reply` holds the inventory
  WorkerLost,     ///< its lease is surely over: its tasks have ended
  VmListWanted,   ///< poll the VM list now
  Stopped,        ///< the planned stop is complete
};

struct OwnershipEvent
{
  EventKind m_kind = EventKind::BecameActive;
  SliceId m_slice;
  Epoch m_epoch = 0;
  VmId m_worker;
  std::optional<worker::ControlReply> m_reply;
};

/// Work above a lowered limit that the scheduler has to stop.
struct StopDemand
{
  LimitId m_limit;
  std::int64_t m_amount = 0;
  bool m_anyClass = false; ///< otherwise patient work only
};

struct Effects
{
  std::vector<TableWrite> m_writes;
  std::vector<TableRead> m_reads;
  std::vector<PeerSend> m_sends;
  std::vector<WorkerSend> m_workerSends;
  std::vector<OwnershipEvent> m_events;
  std::vector<Step> m_steps; ///< actions without a message or a table call

  void Event(EventKind aKind, SliceId aSlice = {}, Epoch aEpoch = 0)
  {
    m_events.push_back({ aKind, std::move(aSlice), aEpoch, {}, {} });
  }
};

} // namespace lacewing::ownership

template<>
struct lacewing::EnumNames<lacewing::ownership::EventKind>
{
  using Kind = lacewing::ownership::EventKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::BecameActive, std::string_view("became_active") },
    std::pair{ Kind::AuthorityEnded, std::string_view("authority_ended") },
    std::pair{ Kind::Deposed, std::string_view("deposed") },
    std::pair{ Kind::SliceClaimed, std::string_view("slice_claimed") },
    std::pair{ Kind::SliceOpened, std::string_view("slice_opened") },
    std::pair{ Kind::SliceLost, std::string_view("slice_lost") },
    std::pair{ Kind::WorkerAdopted, std::string_view("worker_adopted") },
    std::pair{ Kind::WorkerLost, std::string_view("worker_lost") },
    std::pair{ Kind::VmListWanted, std::string_view("vm_list_wanted") },
    std::pair{ Kind::Stopped, std::string_view("stopped") },
  };
};
