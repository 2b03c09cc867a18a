#include "peer/PeerCodec.h"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "peer/messages.pb.h"
#pragma GCC diagnostic pop

#include <array>
#include <cmath>
#include <limits>

namespace lacewing::peer {

namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
/// Bounds durations on the wire, so that sums with them cannot overflow.
constexpr std::uint64_t kMaxDurationUs = 86'400'000'000; // one day

/// Reads the fields of one message; remembers the first value that is wrong.
class FieldReader
{
public:
  bool Ok() const { return m_detail.empty(); }
  const std::string& Detail() const { return m_detail; }

  void Require(bool aCondition, const char* aField, const char* aReason)
  {
    if (!aCondition && m_detail.empty()) {
      m_detail = std::string(aField) + " " + aReason;
    }
  }

  std::string Name(const std::string& aText, const char* aField)
  {
    Require(!aText.empty(), aField, "is empty");
    Require(aText.size() <= kMaxNameBytes, aField, "is longer than 256 bytes");
    return aText;
  }

  Duration Time(std::uint64_t aMicroseconds, const char* aField)
  {
    Require(aMicroseconds <= kMaxDurationUs, aField, "is above one day");
    return Duration(
      static_cast<Duration::rep>(std::min(aMicroseconds, kMaxDurationUs)));
  }

  int Status(std::uint32_t aStatus)
  {
    Require(aStatus >= kMinStatus && aStatus <= kMaxStatus,
            "status",
            "is outside 100 to 599");
    return static_cast<int>(std::min<std::uint32_t>(aStatus, kMaxStatus));
  }

  template<typename Enum>
  Enum Named(const std::string& aText, const char* aField)
  {
    const auto value = ParseName<Enum>(aText);
    Require(value.has_value(), aField, "is an unknown name");
    return value.value_or(Enum{});
  }

  void ListSize(int aSize, const char* aField)
  {
    Require(static_cast<std::size_t>(aSize) <= kMaxListEntries,
            aField,
            "has too many entries");
  }

private:
  std::string m_detail;
};

void
Write(const Error& aError, wire::Failure& aOut)
{
  aOut.set_verdict(std::string(NameOf(aError.m_verdict)));
  aOut.set_code(std::string(NameOf(aError.m_code)));
  aOut.set_message(aError.m_message);
}

Error
Read(const wire::Failure& aIn, FieldReader& aReader)
{
  return { aReader.Named<Verdict>(aIn.verdict(), "verdict"),
           aReader.Named<ErrorCode>(aIn.code(), "code"),
           aIn.message() };
}

template<typename Wire>
void
WriteProcess(const VmId& aVm, Incarnation aIncarnation, Wire& aOut)
{
  aOut.set_vm(aVm.Value());
  aOut.set_incarnation(aIncarnation);
}

// One overload of Write for each message.

void
Write(const Heartbeat& aIn, wire::Envelope& aOut)
{
  wire::Heartbeat& out = *aOut.mutable_heartbeat();
  WriteProcess(aIn.m_vm, aIn.m_incarnation, out);
  out.set_settings_version(aIn.m_settingsVersion);
  out.set_confirmation_age_us(
    static_cast<std::uint64_t>(aIn.m_confirmationAge.count()));
  for (const SliceLoad& slice : aIn.m_slices) {
    wire::SliceLoad& entry = *out.add_slices();
    entry.set_slice(slice.m_slice.Value());
    entry.set_load(slice.m_load);
    entry.set_free_millicores(slice.m_freeMillicores);
    entry.set_queue_length(slice.m_queueLength);
  }
  for (const TeamUsage& team : aIn.m_teams) {
    wire::TeamUsage& entry = *out.add_teams();
    entry.set_team(team.m_team.Value());
    entry.set_millicores(team.m_millicores);
    entry.set_requests(team.m_requests);
    entry.set_waiting_millicores(team.m_waitingMillicores);
  }
  for (const ReleasedSlice& released : aIn.m_released) {
    wire::ReleasedSlice& entry = *out.add_released();
    entry.set_slice(released.m_slice.Value());
    entry.set_epoch(released.m_epoch);
    for (const EndpointBusy& busy : released.m_busy) {
      wire::EndpointBusy& slots = *entry.add_busy();
      slots.set_endpoint(busy.m_endpoint.Value());
      slots.set_slots(busy.m_slots);
    }
  }
  out.set_sequence(aIn.m_sequence);
  out.set_base(aIn.m_base);
  for (const SliceId& slice : aIn.m_removedSlices) {
    out.add_removed_slices(slice.Value());
  }
  for (const TeamId& team : aIn.m_removedTeams) {
    out.add_removed_teams(team.Value());
  }
}

void
Write(const ForwardRequest& aIn, wire::Envelope& aOut)
{
  wire::ForwardRequest& out = *aOut.mutable_forward_request();
  out.set_service(aIn.m_service.Value());
  out.set_method(aIn.m_method);
  out.set_team(aIn.m_team.Value());
  out.set_request_id(aIn.m_requestId);
  if (aIn.m_idempotencyKey) {
    out.set_idempotency_key(*aIn.m_idempotencyKey);
  }
  out.set_request_class(static_cast<wire::RequestClass>(aIn.m_class));
  // A deadline that has passed is sent as no time left.
  out.set_remaining_us(static_cast<std::uint64_t>(
    std::max<Duration::rep>(aIn.m_remaining.count(), 0)));
  out.set_body(aIn.m_body);
  out.set_hops(aIn.m_hops);
  out.set_slice(aIn.m_slice.Value());
  out.set_idempotent(aIn.m_idempotent);
}

void
Write(const Answer& aIn, wire::Envelope& aOut)
{
  wire::Answer& out = *aOut.mutable_answer();
  out.set_status(static_cast<std::uint32_t>(aIn.m_status));
  out.set_byte_count(aIn.m_bytes);
  out.set_retry_after_us(static_cast<std::uint64_t>(aIn.m_retryAfter.count()));
  if (aIn.m_error) {
    Write(*aIn.m_error, *out.mutable_failure());
  } else {
    out.set_body(aIn.m_body);
  }
}

void
Write(const SubmitJob& aIn, wire::Envelope& aOut)
{
  aOut.mutable_submit_job()->set_body(aIn.m_body);
}

void
Write(const QueryJob& aIn, wire::Envelope& aOut)
{
  aOut.mutable_query_job()->set_body(aIn.m_body);
}

void
Write(const JobReply& aIn, wire::Envelope& aOut)
{
  aOut.mutable_job_reply()->set_status(
    static_cast<std::uint32_t>(aIn.m_status));
  aOut.mutable_job_reply()->set_body(aIn.m_body);
}

void
Write(const Opaque& aIn, wire::Envelope& aOut)
{
  aOut.mutable_opaque()->set_kind(aIn.m_kind);
  aOut.mutable_opaque()->set_text(aIn.m_text);
}

void
Write(const Refusal& aIn, wire::Envelope& aOut)
{
  Write(aIn.m_error, *aOut.mutable_refusal()->mutable_failure());
}

void
Write(const Acknowledgement&, wire::Envelope& aOut)
{
  aOut.mutable_acknowledgement();
}

void
Write(const HeartbeatReply& aIn, wire::Envelope& aOut)
{
  aOut.mutable_heartbeat_reply()->set_sequence(aIn.m_sequence);
  aOut.mutable_heartbeat_reply()->set_needs_full(aIn.m_needsFull);
}

// One overload of Read for each message.

SliceLoad
Read(const wire::SliceLoad& aIn, FieldReader& aReader)
{
  aReader.Require(std::isfinite(aIn.load()) && aIn.load() >= 0.0,
                  "slices.load",
                  "is negative or not finite");
  return { SliceId(aReader.Name(aIn.slice(), "slices.slice")),
           aIn.load(),
           aIn.free_millicores(),
           aIn.queue_length() };
}

TeamUsage
Read(const wire::TeamUsage& aIn, FieldReader& aReader)
{
  aReader.Require(aIn.millicores() >= 0, "teams.millicores", "is negative");
  return { TeamId(aReader.Name(aIn.team(), "teams.team")),
           aIn.millicores(),
           aIn.requests(),
           aIn.waiting_millicores() };
}

ReleasedSlice
Read(const wire::ReleasedSlice& aIn, FieldReader& aReader)
{
  ReleasedSlice out;
  out.m_slice = SliceId(aReader.Name(aIn.slice(), "released.slice"));
  out.m_epoch = aIn.epoch();
  aReader.ListSize(aIn.busy_size(), "released.busy");
  for (const auto& busy : aIn.busy()) {
    out.m_busy.push_back(
      { VmId(aReader.Name(busy.endpoint(), "released.busy.endpoint")),
        busy.slots() });
  }
  return out;
}

Heartbeat
Read(const wire::Heartbeat& aIn, FieldReader& aReader)
{
  Heartbeat out;
  out.m_vm = VmId(aReader.Name(aIn.vm(), "heartbeat.vm"));
  out.m_incarnation = aIn.incarnation();
  out.m_settingsVersion = aIn.settings_version();
  out.m_confirmationAge =
    aReader.Time(aIn.confirmation_age_us(), "heartbeat.confirmation_age_us");
  aReader.ListSize(aIn.slices_size(), "heartbeat.slices");
  aReader.ListSize(aIn.teams_size(), "heartbeat.teams");
  aReader.ListSize(aIn.released_size(), "heartbeat.released");
  aReader.ListSize(aIn.removed_slices_size(), "heartbeat.removed_slices");
  aReader.ListSize(aIn.removed_teams_size(), "heartbeat.removed_teams");
  out.m_sequence = aIn.sequence();
  out.m_base = aIn.base();
  aReader.Require(out.m_base == 0 || out.m_base < out.m_sequence,
                  "heartbeat.base",
                  "is not below the sequence number");
  if (!aReader.Ok()) {
    return out;
  }
  for (const auto& slice : aIn.slices()) {
    out.m_slices.push_back(Read(slice, aReader));
  }
  for (const auto& team : aIn.teams()) {
    out.m_teams.push_back(Read(team, aReader));
  }
  for (const auto& released : aIn.released()) {
    out.m_released.push_back(Read(released, aReader));
  }
  for (const std::string& slice : aIn.removed_slices()) {
    out.m_removedSlices.emplace_back(
      aReader.Name(slice, "heartbeat.removed_slices"));
  }
  for (const std::string& team : aIn.removed_teams()) {
    out.m_removedTeams.emplace_back(
      aReader.Name(team, "heartbeat.removed_teams"));
  }
  return out;
}

ForwardRequest
Read(const wire::ForwardRequest& aIn, FieldReader& aReader)
{
  ForwardRequest out;
  out.m_service =
    ServiceId(aReader.Name(aIn.service(), "forward_request.service"));
  out.m_method = aReader.Name(aIn.method(), "forward_request.method");
  out.m_team = TeamId(aReader.Name(aIn.team(), "forward_request.team"));
  out.m_requestId =
    aReader.Name(aIn.request_id(), "forward_request.request_id");
  if (aIn.has_idempotency_key()) {
    out.m_idempotencyKey =
      aReader.Name(aIn.idempotency_key(), "forward_request.idempotency_key");
  }
  out.m_class = static_cast<RequestClass>(aIn.request_class());
  out.m_remaining =
    aReader.Time(aIn.remaining_us(), "forward_request.remaining_us");
  out.m_body = aIn.body();
  out.m_hops = aIn.hops();
  out.m_slice = SliceId(aReader.Name(aIn.slice(), "forward_request.slice"));
  out.m_idempotent = aIn.idempotent();
  return out;
}

Answer
Read(const wire::Answer& aIn, FieldReader& aReader)
{
  Answer out;
  out.m_status = aReader.Status(aIn.status());
  out.m_bytes = aIn.byte_count();
  out.m_retryAfter =
    aReader.Time(aIn.retry_after_us(), "answer.retry_after_us");
  aReader.Require(
    aIn.has_body() || aIn.has_failure(), "answer.result", "is missing");
  if (aIn.has_failure()) {
    out.m_error = Read(aIn.failure(), aReader);
    return out;
  }
  // A short body must never be passed on as the whole answer.
  aReader.Require(aIn.byte_count() == aIn.body().size(),
                  "answer.byte_count",
                  "differs from the size of the body");
  out.m_body = aIn.body();
  return out;
}

SubmitJob
Read(const wire::SubmitJob& aIn, FieldReader&)
{
  return { aIn.body() };
}

QueryJob
Read(const wire::QueryJob& aIn, FieldReader&)
{
  return { aIn.body() };
}

JobReply
Read(const wire::JobReply& aIn, FieldReader& aReader)
{
  return { aReader.Status(aIn.status()), aIn.body() };
}

Opaque
Read(const wire::Opaque& aIn, FieldReader& aReader)
{
  return { aReader.Name(aIn.kind(), "opaque.kind"), aIn.text() };
}

Refusal
Read(const wire::Refusal& aIn, FieldReader& aReader)
{
  return { Read(aIn.failure(), aReader) };
}

PeerMessage
ReadEnvelope(const wire::Envelope& aIn, FieldReader& aReader)
{
  switch (aIn.message_case()) {
    case wire::Envelope::kHeartbeat:
      return Read(aIn.heartbeat(), aReader);
    case wire::Envelope::kForwardRequest:
      return Read(aIn.forward_request(), aReader);
    case wire::Envelope::kAnswer:
      return Read(aIn.answer(), aReader);
    case wire::Envelope::kSubmitJob:
      return Read(aIn.submit_job(), aReader);
    case wire::Envelope::kQueryJob:
      return Read(aIn.query_job(), aReader);
    case wire::Envelope::kJobReply:
      return Read(aIn.job_reply(), aReader);
    case wire::Envelope::kOpaque:
      return Read(aIn.opaque(), aReader);
    case wire::Envelope::kRefusal:
      return Read(aIn.refusal(), aReader);
    case wire::Envelope::kHeartbeatReply:
      return HeartbeatReply{ aIn.heartbeat_reply().sequence(),
                             aIn.heartbeat_reply().needs_full() };
    case wire::Envelope::kAcknowledgement:
    case wire::Envelope::MESSAGE_NOT_SET:
      break;
  }
  return Acknowledgement{};
}

template<typename T>
Decoded<T>
Failed(PeerFault aFault, std::string aDetail)
{
  return { std::nullopt, aFault, std::move(aDetail) };
}

void
WriteFrame(const Challenge& aIn, wire::HandshakeFrame& aOut)
{
  wire::Challenge& out = *aOut.mutable_challenge();
  out.set_version(aIn.m_version);
  out.set_cluster(aIn.m_cluster);
  WriteProcess(aIn.m_client.m_vm, aIn.m_client.m_incarnation, out);
  out.set_nonce(aIn.m_nonce);
  out.set_target(aIn.m_target.Value());
}

void
WriteFrame(const ChallengeAnswer& aIn, wire::HandshakeFrame& aOut)
{
  wire::ChallengeAnswer& out = *aOut.mutable_challenge_answer();
  out.set_version(aIn.m_version);
  out.set_cluster(aIn.m_cluster);
  WriteProcess(aIn.m_server.m_vm, aIn.m_server.m_incarnation, out);
  out.set_nonce(aIn.m_nonce);
  out.set_proof(aIn.m_proof);
}

void
WriteFrame(const Proof& aIn, wire::HandshakeFrame& aOut)
{
  aOut.mutable_proof()->set_proof(aIn.m_proof);
}

void
WriteFrame(const Accepted&, wire::HandshakeFrame& aOut)
{
  aOut.mutable_accepted();
}

void
WriteFrame(const Rejected& aIn, wire::HandshakeFrame& aOut)
{
  aOut.mutable_rejected()->set_fault(std::string(NameOf(aIn.m_fault)));
}

Challenge
Read(const wire::Challenge& aIn, FieldReader& aReader)
{
  return { aIn.version(),
           aReader.Name(aIn.cluster(), "challenge.cluster"),
           { VmId(aReader.Name(aIn.vm(), "challenge.vm")), aIn.incarnation() },
           aReader.Name(aIn.nonce(), "challenge.nonce"),
           VmId(aReader.Name(aIn.target(), "challenge.target")) };
}

ChallengeAnswer
Read(const wire::ChallengeAnswer& aIn, FieldReader& aReader)
{
  return { aIn.version(),
           aReader.Name(aIn.cluster(), "challenge_answer.cluster"),
           { VmId(aReader.Name(aIn.vm(), "challenge_answer.vm")),
             aIn.incarnation() },
           aReader.Name(aIn.nonce(), "challenge_answer.nonce"),
           aReader.Name(aIn.proof(), "challenge_answer.proof") };
}

HandshakeFrame
ReadFrame(const wire::HandshakeFrame& aIn, FieldReader& aReader)
{
  switch (aIn.frame_case()) {
    case wire::HandshakeFrame::kChallenge:
      return Read(aIn.challenge(), aReader);
    case wire::HandshakeFrame::kChallengeAnswer:
      return Read(aIn.challenge_answer(), aReader);
    case wire::HandshakeFrame::kProof:
      return Proof{ aReader.Name(aIn.proof().proof(), "proof.proof") };
    case wire::HandshakeFrame::kRejected:
      return Rejected{ aReader.Named<PeerFault>(aIn.rejected().fault(),
                                                "rejected.fault") };
    case wire::HandshakeFrame::kAccepted:
    case wire::HandshakeFrame::FRAME_NOT_SET:
      break;
  }
  return Accepted{};
}

/// The version in a frame, if it has one. It is checked before the required
/// fields, since another version may have other fields.
std::optional<std::uint32_t>
VersionOf(const wire::HandshakeFrame& aIn)
{
  if (aIn.has_challenge() && aIn.challenge().has_version()) {
    return aIn.challenge().version();
  }
  if (aIn.has_challenge_answer() && aIn.challenge_answer().has_version()) {
    return aIn.challenge_answer().version();
  }
  return std::nullopt;
}

/// Parses without protobuf's own log lines about missing fields.
template<typename Wire>
bool
Parse(std::string_view aBytes, Wire& aOut)
{
  return aBytes.size() <= kMaxMessageBytes &&
         aOut.ParsePartialFromArray(aBytes.data(),
                                    static_cast<int>(aBytes.size()));
}

std::string
VersionDetail(std::uint32_t aVersion)
{
  return "protocol version " + std::to_string(aVersion) +
         "; this process has " + std::to_string(kProtocolVersion);
}

} // namespace

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  wire::Envelope envelope;
  envelope.set_version(kProtocolVersion);
  std::visit([&](const auto& aOne) { Write(aOne, envelope); }, aMessage);
  return envelope.SerializeAsString();
}

std::string_view
KindOf(const PeerMessage& aMessage)
{
  // In the order of the variant.
  constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    kNames = { "heartbeat",       "forward_request", "answer", "submit_job",
               "query_job",       "job_reply",       "opaque", "refusal",
               "acknowledgement", "heartbeat_reply" };
  const auto* opaque = std::get_if<Opaque>(&aMessage);
  return opaque == nullptr ? kNames.at(aMessage.index())
                           : std::string_view(opaque->m_kind);
}

Decoded<PeerMessage>
DecodeMessage(std::string_view aBytes)
{
  using Failure = PeerFault;
  if (aBytes.size() > kMaxMessageBytes) {
    return Failed<PeerMessage>(Failure::OversizedFrame,
                               "message of " + std::to_string(aBytes.size()) +
                                 " bytes");
  }
  wire::Envelope envelope;
  if (!Parse(aBytes, envelope)) {
    return Failed<PeerMessage>(Failure::Malformed, "message is not protobuf");
  }
  if (!envelope.has_version()) {
    return Failed<PeerMessage>(Failure::Malformed, "version is missing");
  }
  if (envelope.version() != kProtocolVersion) {
    return Failed<PeerMessage>(Failure::UnknownVersion,
                               VersionDetail(envelope.version()));
  }
  if (envelope.message_case() == wire::Envelope::MESSAGE_NOT_SET) {
    return Failed<PeerMessage>(Failure::UnknownKind, "message kind is unknown");
  }
  if (!envelope.IsInitialized()) {
    return Failed<PeerMessage>(Failure::Malformed,
                               "missing fields: " +
                                 envelope.InitializationErrorString());
  }
  FieldReader reader;
  PeerMessage message = ReadEnvelope(envelope, reader);
  if (!reader.Ok()) {
    return Failed<PeerMessage>(Failure::BadValue, reader.Detail());
  }
  return { std::move(message), {}, {} };
}

std::string
EncodeFrame(const HandshakeFrame& aFrame)
{
  wire::HandshakeFrame frame;
  std::visit([&](const auto& aOne) { WriteFrame(aOne, frame); }, aFrame);
  return frame.SerializeAsString();
}

Decoded<HandshakeFrame>
DecodeFrame(std::string_view aBytes)
{
  wire::HandshakeFrame frame;
  if (!Parse(aBytes, frame)) {
    return Failed<HandshakeFrame>(PeerFault::Malformed,
                                  "handshake frame is not protobuf");
  }
  if (frame.frame_case() == wire::HandshakeFrame::FRAME_NOT_SET) {
    return Failed<HandshakeFrame>(PeerFault::UnknownKind,
                                  "handshake frame kind is unknown");
  }
  const auto version = VersionOf(frame);
  if (version && *version != kProtocolVersion) {
    return Failed<HandshakeFrame>(PeerFault::UnknownVersion,
                                  VersionDetail(*version));
  }
  if (!frame.IsInitialized()) {
    return Failed<HandshakeFrame>(PeerFault::Malformed,
                                  "missing fields: " +
                                    frame.InitializationErrorString());
  }
  FieldReader reader;
  HandshakeFrame value = ReadFrame(frame, reader);
  if (!reader.Ok()) {
    return Failed<HandshakeFrame>(PeerFault::BadValue, reader.Detail());
  }
  return { std::move(value), {}, {} };
}

} // namespace lacewing::peer
