#include "edge/RelayLinks.h"

#include "core/TryDecode.h"
#include "relay/OrderGate.h"

#include <limits>
#include <utility>

namespace lacewing::edge {

namespace {

/// Orders of this time leave in one frame.
constexpr Duration kFlushPeriod = milliseconds(4);
/// Payloads and checkpoints of a frame, well below the longest frame.
constexpr std::size_t kFrameBytes = std::size_t{ 1024 } * 1024;
constexpr Duration kTickPeriod = milliseconds(50);
/// A relay sends a frame at least every 100 ms. The turns of this process's
/// event loop are counted and not the time, since a late loop reads frames
/// late.
constexpr int kSilentTicks = 12;
constexpr Duration kChoicePeriod = milliseconds(500);
/// A relay whose event loop is later than that of the leader by this much makes
/// calls slower than the leader would.
constexpr Duration kLateRelay = milliseconds(100);
/// It makes them in time again once it is later by no more than this.
constexpr Duration kTimelyRelay = milliseconds(50);
/// Another daemon is chosen in the place of a relay that has been late for so
/// many ticks.
constexpr int kLateTicks = 20;
/// A relay through which no worker answers for so many ticks is given up though
/// frames come from it: its way to the workers, or that of the orders, is cut
/// or late. It is longer than a worker may delay an answer.
constexpr int kUnansweredTicks = 50;
/// Orders that wait behind so many bytes are late in any case.
constexpr std::size_t kMostUnsentBytes = std::size_t{ 16 } * 1024 * 1024;

/// True if the worker has answered the call.
bool
IsOfWorker(const relay::Answer& aAnswer)
{
  return aAnswer.m_state != platform::CommandState::Unknown &&
         aAnswer.m_state != platform::CommandState::NotSent;
}

std::size_t
BytesOf(const relay::Order& aOrder)
{
  const auto* start = std::get_if<relay::StartCommand>(&aOrder.m_command);
  return start == nullptr ? 0
                          : start->m_start.m_payload.size() +
                              start->m_start.m_checkpoint.size();
}

/// Counts ticks in a row for which the condition has held.
int
CountTicks(bool aCondition, int aTicks)
{
  return aCondition ? aTicks + 1 : 0;
}

} // namespace

struct RelayLinks::Link
{
  relay::RelayPeer m_peer;
  relay::OpenCalls m_calls;
  std::vector<relay::Order> m_pending; ///< not sent yet
  std::unique_ptr<net::FrameConnection> m_connection;
  std::unique_ptr<net::PacedTimer> m_flush;
  /// The relay's clock as the first of `m_pending` was decided on.
  Time m_pendingBeat{};
  Time m_beat{};           ///< of the relay's last frame, on its clock
  Time m_beatAt{};         ///< when that frame was read
  bool m_heard = false;    ///< since the last tick
  bool m_ready = false;    ///< a frame has been read
  bool m_stopping = false; ///< its process is about to end
  bool m_retired = false;  ///< another relay is used in its place
  bool m_answered = false; ///< by a worker, since the last tick
  bool m_late = false;
  int m_silentTicks = 0;
  int m_unansweredTicks = 0;
  int m_lateTicks = 0;
  Duration m_lag{};
};

RelayLinks::RelayLinks(net::Loop& aLoop,
                       observe::Log& aLog,
                       VmId aSelf,
                       std::uint64_t aTerm)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_self(std::move(aSelf))
  , m_term(aTerm)
  , m_ticker(aLoop, kTickPeriod, [this] { Tick(); })
{
  m_ticker.CallSoon();
}

RelayLinks::~RelayLinks() = default;

void
RelayLinks::OnPeerSeen(Time aNow, const relay::RelayPeer& aPeer)
{
  if (aPeer.m_vm != m_self) {
    m_choice.OnPeerSeen(aNow, aPeer);
  }
}

void
RelayLinks::SetWorkers(relay::WorkerCounts aWorkers)
{
  if (m_workers.empty()) {
    m_nextChoice = {}; // nothing could be chosen before
  }
  m_workers = std::move(aWorkers);
}

bool
RelayLinks::IsUsable(const Link& aLink) const
{
  return aLink.m_ready && !aLink.m_stopping && !aLink.m_retired &&
         !aLink.m_late;
}

std::size_t
RelayLinks::UsableCount() const
{
  std::size_t count = 0;
  for (const auto& [vm, link] : m_links) {
    count += IsUsable(*link) ? 1U : 0U;
  }
  return count;
}

bool
RelayLinks::Call(const DomainId& aDomain,
                 const net::Address& aAddress,
                 relay::Command aCommand,
                 Duration aTimeout,
                 relay::OpenCalls::Done aDone)
{
  const VmId* vm = m_routes.Find(relay::WorkerOf(aCommand), aDomain);
  if (vm == nullptr) {
    return false;
  }
  const Time now = net::Loop::Now();
  Link& link = *m_links.at(*vm);
  if (link.m_pending.empty()) {
    // The relay's clock has gone on since its last frame, by at least that much
    // as far as clocks agree.
    link.m_pendingBeat =
      link.m_beat + Scale(now - link.m_beatAt, 1 - kDefaultClockRateError);
  }
  const relay::CallId call =
    link.m_calls.Add(now + aTimeout + relay::kTransit, std::move(aDone));
  link.m_pending.push_back({ call, aAddress, aTimeout, std::move(aCommand) });
  link.m_flush->CallSoon();
  return true;
}

void
RelayLinks::Flush(Link& aLink)
{
  if (aLink.m_pending.empty()) {
    return;
  }
  relay::OrderFrame frame;
  frame.m_term = m_term;
  frame.m_leader = m_self;
  frame.m_beat = aLink.m_pendingBeat;
  std::size_t bytes = 0;
  for (relay::Order& order : std::exchange(aLink.m_pending, {})) {
    bytes += BytesOf(order);
    frame.m_orders.push_back(std::move(order));
    if (bytes >= kFrameBytes) {
      aLink.m_connection->Send(relay::EncodeOrders(frame));
      frame.m_orders.clear();
      bytes = 0;
    }
  }
  if (!frame.m_orders.empty()) {
    aLink.m_connection->Send(relay::EncodeOrders(frame));
  }
  if (aLink.m_connection->UnsentBytes() > kMostUnsentBytes) {
    Lose(VmId(aLink.m_peer.m_vm), Loss::Congested);
  }
}

void
RelayLinks::OnFrame(Link& aLink, std::string_view aFrame)
{
  const auto frame =
    TryDecode<relay::AnswerFrame>([&] { return relay::DecodeAnswers(aFrame); });
  if (!frame) {
    m_log.Write(settings::LogLevel::Warn,
                "relay_frame_refused",
                { { "relay", aLink.m_peer.m_vm.Value() },
                  { "bytes", static_cast<std::int64_t>(aFrame.size()) } });
    return;
  }
  const bool wasUsable = IsUsable(aLink);
  aLink.m_beat = frame->m_beat;
  aLink.m_beatAt = net::Loop::Now();
  aLink.m_heard = true;
  aLink.m_ready = true;
  aLink.m_lag = frame->m_loopLag;
  aLink.m_stopping = frame->m_stopping;
  if (IsUsable(aLink) != wasUsable) {
    UpdateRoutes();
  }
  for (const relay::Answer& answer : frame->m_answers) {
    aLink.m_answered |= IsOfWorker(answer);
    aLink.m_calls.OnAnswer(answer);
  }
}

void
RelayLinks::Tick()
{
  m_ticker.CallBy(net::Loop::Now() + kTickPeriod);
  const Time now = net::Loop::Now();
  // The callbacks of calls that have ended may lose further links.
  const auto links = m_links;
  for (const auto& [vm, link] : links) {
    TickLink(now, *link);
    if (link->m_silentTicks >= kSilentTicks) {
      Lose(vm, Loss::Silent);
    } else if (link->m_unansweredTicks >= kUnansweredTicks) {
      Lose(vm, Loss::Unanswered);
    }
  }
  if (now >= m_nextChoice) {
    m_nextChoice = now + kChoicePeriod;
    Rechoose(now);
  }
  UpdateRoutes();
}

void
RelayLinks::TickLink(Time aNow, Link& aLink)
{
  const bool heard = std::exchange(aLink.m_heard, false);
  const bool answered = std::exchange(aLink.m_answered, false);
  if (heard && !aLink.m_stopping) {
    // Requests for the status may wait behind other work.
    m_choice.OnAlive(aNow, aLink.m_peer.m_vm);
  }
  aLink.m_silentTicks = CountTicks(!heard, aLink.m_silentTicks);
  aLink.m_unansweredTicks =
    CountTicks(!answered && aLink.m_calls.Size() > 0, aLink.m_unansweredTicks);
  const Duration bound = aLink.m_late ? kTimelyRelay : kLateRelay;
  aLink.m_late = aLink.m_lag > m_standingLag + bound;
  aLink.m_lateTicks = CountTicks(aLink.m_late, aLink.m_lateTicks);
  if (aLink.m_stopping || aLink.m_lateTicks >= kLateTicks) {
    m_choice.OnFailure(aNow, aLink.m_peer.m_vm); // another takes its place
  }
  aLink.m_calls.Expire(aNow);
}

void
RelayLinks::Rechoose(Time aNow)
{
  const std::vector<relay::RelayPeer> chosen = m_choice.Choose(aNow, m_workers);
  for (const auto& [vm, link] : m_links) {
    link->m_retired = true;
  }
  for (const relay::RelayPeer& peer : chosen) {
    const auto it = m_links.find(peer.m_vm);
    if (it == m_links.end()) {
      Connect(peer);
    } else if (it->second->m_peer == peer) {
      it->second->m_retired = false;
    }
  }
  std::vector<VmId> ended;
  for (const auto& [vm, link] : m_links) {
    if ((link->m_retired || link->m_stopping) && link->m_calls.Size() == 0) {
      ended.push_back(vm);
    }
  }
  for (const VmId& vm : ended) {
    Lose(vm, Loss::NotNeeded);
  }
}

void
RelayLinks::Connect(const relay::RelayPeer& aPeer)
{
  auto link = std::make_shared<Link>();
  Link* const raw = link.get();
  link->m_peer = aPeer;
  link->m_flush = std::make_unique<net::PacedTimer>(
    m_loop, kFlushPeriod, [this, raw] { Flush(*raw); });
  link->m_connection = std::make_unique<net::FrameConnection>(
    m_loop,
    aPeer.m_address,
    net::FrameHooks{
      [this, raw](std::string_view aFrame) { OnFrame(*raw, aFrame); },
      [this, vm = aPeer.m_vm] { Lose(vm, Loss::Closed); } });
  if (!link->m_connection->IsOpen()) {
    m_choice.OnFailure(net::Loop::Now(), aPeer.m_vm);
    return;
  }
  m_links.emplace(aPeer.m_vm, std::move(link));
}

void
RelayLinks::Lose(const VmId& aVm, Loss aReason)
{
  auto node = m_links.extract(aVm);
  if (node.empty()) {
    return;
  }
  const std::shared_ptr<Link> link = node.mapped();
  m_log.Write(
    settings::LogLevel::Info,
    "relay_lost",
    { { "relay", aVm.Value() },
      { "reason", std::string(NameOf(aReason)) },
      { "open_calls", static_cast<std::int64_t>(link->m_calls.Size()) } });
  link->m_connection->Close();
  if (aReason != Loss::NotNeeded) {
    m_choice.OnFailure(net::Loop::Now(), aVm);
  }
  UpdateRoutes();
  const relay::CallId firstUnsent =
    link->m_pending.empty() ? std::numeric_limits<relay::CallId>::max()
                            : link->m_pending.front().m_call;
  link->m_pending.clear();
  // The connection may have called this, so it has to outlive the call.
  m_loop.After(Duration::zero(), [link] {});
  link->m_calls.Abandon(firstUnsent);
}

void
RelayLinks::UpdateRoutes()
{
  std::vector<relay::RelayPeer> usable;
  for (const auto& [vm, link] : m_links) {
    if (IsUsable(*link)) {
      usable.push_back(link->m_peer);
    }
  }
  m_log.WriteOnChange("relays",
                      std::to_string(usable.size()),
                      settings::LogLevel::Info,
                      "relays_usable",
                      { { "links", static_cast<std::int64_t>(m_links.size()) },
                        { "term", static_cast<std::int64_t>(m_term) } });
  m_routes.SetUsable(std::move(usable));
}

} // namespace lacewing::edge
