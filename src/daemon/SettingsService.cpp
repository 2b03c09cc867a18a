#include "daemon/SettingsService.h"

#include "daemon/PeerPayloads.h"

namespace lacewing::daemon {

namespace {

using observe::EventKind;
using observe::Metric;

constexpr Duration kChangeDeadline = seconds(10);

settings::StoreOptions
OptionsOf(const Runtime& aRuntime, const settings::Bootstrap& aConfig)
{
  settings::StoreOptions options;
  options.m_self = aConfig.m_vm;
  options.m_incarnation = aRuntime.ProcessIncarnation();
  options.m_region = aConfig.m_region;
  return options;
}

} // namespace

SettingsService::SettingsService(
  Runtime& aRuntime,
  Membership& aMembership,
  std::function<void(const settings::InForceEffect&)> aOnInForce)
  : m_runtime(aRuntime)
  , m_membership(aMembership)
  , m_onInForce(std::move(aOnInForce))
  , m_store(OptionsOf(aRuntime, aRuntime.Config()))
  , m_authenticator(m_store)
{
}

void
SettingsService::Start()
{
  Carry(m_store.Start(net::Loop::Now(), OtherMembers()));
}

void
SettingsService::Tick()
{
  const Time now = net::Loop::Now();
  m_store.SetMembers(now, OtherMembers());
  Carry(m_store.Tick(now));
  const auto age = m_store.ConfirmationAge(now);
  auto& metrics = m_runtime.Metrics();
  metrics.Set(Metric::SettingsFleetVersion,
              static_cast<double>(m_store.Fleet()));
  if (age) {
    metrics.Set(Metric::SettingsAgeSeconds,
                std::chrono::duration<double>(*age).count());
    m_membership.Machine().OnSettingsConfirmed(now - *age, m_store.Fleet());
  }
  metrics.Set(Metric::SettingsBadSubtrees,
              static_cast<double>(m_store.BadSubtrees().size()));
  m_membership.Machine().SetSettingsWriteUnresolved(!m_changes.empty());
}

void
SettingsService::OnPeerMessage(const VmId& aFrom,
                               const settings::PeerMessage& aMessage)
{
  Carry(m_store.OnMessage(net::Loop::Now(), aFrom, aMessage));
}

void
SettingsService::OnPromise(Time aProbeSentAt,
                           const VmId& aFrom,
                           const ownership::Promise& aPromise)
{
  m_store.OnPromise(
    aProbeSentAt, aFrom, aPromise.m_incarnation, aPromise.m_settingsVersion);
}

void
SettingsService::Change(const std::string& aSubtree,
                        settings::SettingsVersion aExpected,
                        std::string aText,
                        ChangeHandler aDone)
{
  const Time now = net::Loop::Now();
  if (!m_membership.Machine().MayAcceptSettings(now)) {
    settings::ChangeDone refused;
    refused.m_error = Error{
      Verdict::NotRun,
      ErrorCode::StoreUnavailable,
      "this entry daemon may not accept settings now: it is not an active "
      "member or has promised not to while the table is down"
    };
    aDone(refused);
    return;
  }
  settings::ChangeRequest request;
  request.m_ticket = ++m_lastTicket;
  request.m_subtree = aSubtree;
  request.m_expected = aExpected;
  request.m_text = std::move(aText);
  request.m_deadline = now + kChangeDeadline;
  m_changes.emplace(request.m_ticket, std::move(aDone));
  Carry(m_store.Change(now, std::move(request)));
}

void
SettingsService::ApplyTimings()
{
  m_store.SetTimings(Tree().Milliseconds("settings", "poll_ms"),
                     Tree().Milliseconds("settings", "key_freshness_ms"));
}

Result<TeamId>
SettingsService::Authenticate(const std::string& aKey,
                              const std::string& aQueue) const
{
  const auto count = [this](std::string_view aResult) {
    m_runtime.Metrics().Add(Metric::Authentications, { aResult });
  };
  return leaf::try_handle_some(
    [&]() -> Result<TeamId> {
      BOOST_LEAF_AUTO(
        team, m_authenticator.Authenticate(net::Loop::Now(), aKey, aQueue));
      count("accepted");
      return team;
    },
    // The same id is returned: LEAF hands the handled error on under it, and a
    // new error of the same type would be overwritten.
    [&](const leaf::error_info& aInfo, const Error& aError) -> Result<TeamId> {
      count(NameOf(aError.m_code));
      return aInfo.error();
    });
}

void
SettingsService::Carry(const settings::Effects& aEffects)
{
  for (const settings::Effect& effect : aEffects) {
    std::visit([this](const auto& aOne) { CarryOne(aOne); }, effect);
  }
}

void
SettingsService::CarryOne(const settings::CommitEffect& aEffect)
{
  m_runtime.Table().Submit(
    "settings",
    aEffect.m_commit,
    [this, id = aEffect.m_operation](const table::CommitResult& aResult) {
      Carry(m_store.OnCommit(net::Loop::Now(), id, aResult));
    });
}

void
SettingsService::CarryOne(const settings::ReadEffect& aEffect)
{
  m_runtime.Table().Fetch(
    "settings",
    aEffect.m_read,
    [this, id = aEffect.m_operation](const table::ReadResult& aResult) {
      Carry(m_store.OnRead(net::Loop::Now(), id, aResult));
    });
}

void
SettingsService::CarryOne(const settings::SendEffect& aEffect)
{
  m_membership.Notify(aEffect.m_to, Pack(aEffect.m_message));
}

void
SettingsService::CarryOne(const settings::InForceEffect& aEffect)
{
  observe::Event event;
  event.m_kind = EventKind::SettingsInForce;
  event.m_detail = aEffect.m_subtree + " version " +
                   std::to_string(aEffect.m_version) +
                   (aEffect.m_fault.empty() ? "" : " rejected");
  m_runtime.Record(event);
  m_runtime.Log().WriteOnChange(
    "settings/" + aEffect.m_subtree,
    std::to_string(aEffect.m_version),
    settings::LogLevel::Info,
    "settings_in_force",
    { { "subtree", aEffect.m_subtree },
      { "version", static_cast<std::int64_t>(aEffect.m_version) },
      { "fault", aEffect.m_fault } });
  m_onInForce(aEffect);
}

void
SettingsService::CarryOne(const settings::ChangeDone& aEffect)
{
  m_runtime.Metrics().Add(
    Metric::SettingsChanges,
    { aEffect.m_error ? NameOf(aEffect.m_error->m_verdict) : "accepted" });
  auto change = m_changes.extract(aEffect.m_ticket);
  if (!change.empty()) {
    change.mapped()(aEffect);
  }
}

std::vector<settings::Member>
SettingsService::OtherMembers() const
{
  std::vector<settings::Member> members;
  for (const MemberInfo& member : m_membership.Members()) {
    if (member.m_vm != m_runtime.Self()) {
      members.push_back({ member.m_vm, member.m_incarnation, member.m_region });
    }
  }
  return members;
}

} // namespace lacewing::daemon
