/// Messages between entry daemons as values. Generated protobuf types are used
/// only inside the codec.
#pragma once

#include "core/Ids.h"
#include "core/RequestClass.h"
#include "core/Time.h"
#include "core/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::peer {

/// Version of the handshake and of the messages. Peers of different versions
/// refuse each other.
inline constexpr std::uint32_t kProtocolVersion = 2;

/// State of one slice that the sender owns.
struct SliceLoad
{
  SliceId m_slice;
  double m_load = 0.0; ///< used part of the capacity; finite, not negative
  std::int64_t m_freeMillicores = 0;
  std::uint64_t m_queueLength = 0; ///< tasks or requests waiting

  bool operator==(const SliceLoad&) const = default;
};

/// What a team uses in all slices of the sender.
struct TeamUsage
{
  TeamId m_team;
  std::int64_t m_millicores = 0;
  std::uint64_t m_requests = 0;
  std::int64_t m_waitingMillicores = 0;

  bool operator==(const TeamUsage&) const = default;
};

/// Slots of an endpoint that are taken by requests of one owner.
struct EndpointBusy
{
  VmId m_endpoint;
  std::uint32_t m_slots = 0;

  bool operator==(const EndpointBusy&) const = default;
};

/// What the sender's dispatched requests still take in a slice that it has
/// released. Endpoints that are not listed are free.
struct ReleasedSlice
{
  SliceId m_slice;
  Epoch m_epoch = 0; ///< under which the sender owned the slice
  std::vector<EndpointBusy> m_busy;

  bool operator==(const ReleasedSlice&) const = default;
};

/// State of the sender, or what has changed in it since an earlier heartbeat.
struct Heartbeat
{
  VmId m_vm;
  Incarnation m_incarnation = 0;
  std::uint64_t m_settingsVersion = 0;
  /// Time since the table, or a peer that had read it, confirmed the version.
  Duration m_confirmationAge{};
  std::vector<SliceLoad> m_slices;
  std::vector<TeamUsage> m_teams;
  std::vector<ReleasedSlice> m_released;
  /// Counts the heartbeats of the sending process to this receiver, from 1; 0
  /// in a state that is not sent.
  std::uint64_t m_sequence = 0;
  /// Sequence number of the acknowledged heartbeat that this one adds to. 0 if
  /// it is full: then what it does not contain does not exist.
  std::uint64_t m_base = 0;
  std::vector<SliceId> m_removedSlices; ///< told earlier; no longer exist
  std::vector<TeamId> m_removedTeams;   ///< told earlier; use nothing now

  bool operator==(const Heartbeat&) const = default;
};

/// Reply to a `Heartbeat`.
struct HeartbeatReply
{
  std::uint64_t m_sequence = 0; ///< of the heartbeat
  /// The receiver does not hold the state that the heartbeat adds to.
  bool m_needsFull = false;

  bool operator==(const HeartbeatReply&) const = default;
};

/// A service request on its way from the front to the owner of a slice.
struct ForwardRequest
{
  ServiceId m_service;
  std::string m_method;
  TeamId m_team;
  std::string m_requestId;
  std::optional<std::string> m_idempotencyKey;
  RequestClass m_class = RequestClass::Interactive;
  Duration m_remaining{}; ///< until the deadline, counted by the receiver
  std::string m_body;
  std::uint32_t m_hops = 0; ///< entry daemons that have forwarded it
  SliceId m_slice;
  bool m_idempotent = false; ///< may be tried again after it may have run

  bool operator==(const ForwardRequest&) const = default;
};

/// Answer to a `ForwardRequest`: a whole body, or an error.
struct Answer
{
  int m_status = 0; ///< of HTTP, 100 to 599
  std::string m_body;
  std::optional<Error> m_error; ///< the body is empty if set
  /// Size of the whole body in bytes; the decoder refuses another size.
  std::uint64_t m_bytes = 0;
  /// With an error: when a new try has a chance; zero when that is not known.
  Duration m_retryAfter{};
};

/// Text of a job as JSON.
struct SubmitJob
{
  std::string m_body;

  bool operator==(const SubmitJob&) const = default;
};

struct QueryJob
{
  std::string m_body;

  bool operator==(const QueryJob&) const = default;
};

/// Answer to `SubmitJob` and `QueryJob`.
struct JobReply
{
  int m_status = 0; ///< of HTTP, 100 to 599
  std::string m_body;

  bool operator==(const JobReply&) const = default;
};

/// Extension point for messages that the codec does not know in detail.
struct Opaque
{
  std::string m_kind;
  std::string m_text;

  bool operator==(const Opaque&) const = default;
};

/// Reply that refuses a request. Only a verdict `NotRun` in it tells the caller
/// that the request had no effect.
struct Refusal
{
  Error m_error;
};

/// Empty reply to a one-way message.
struct Acknowledgement
{
  bool operator==(const Acknowledgement&) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 ForwardRequest,
                                 Answer,
                                 SubmitJob,
                                 QueryJob,
                                 JobReply,
                                 Opaque,
                                 Refusal,
                                 Acknowledgement,
                                 HeartbeatReply>;

/// A process of the cell.
struct PeerIdentity
{
  VmId m_vm;
  Incarnation m_incarnation = 0;

  auto operator<=>(const PeerIdentity&) const = default;
};

} // namespace lacewing::peer
