#include "observe/Timeline.h"

#include "core/Redact.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace lacewing::observe {

namespace {

using Json = nlohmann::ordered_json;

/// Longest field of an event; more is cut off.
constexpr std::size_t kMaxFieldBytes = 256;

void
Clean(std::string& aText)
{
  aText.resize(std::min(aText.size(), kMaxFieldBytes));
  aText = RedactKeys(aText);
  // Texts of the usual lengths have spare capacity otherwise.
  aText.shrink_to_fit();
}

template<typename Id>
Id
CleanId(const Id& aId)
{
  std::string text = aId.Value();
  Clean(text);
  return Id(std::move(text));
}

/// Heap memory of a text that doesn't fit into the object itself.
std::size_t
HeapBytes(const std::string& aText)
{
  constexpr std::size_t kInlineBytes = 15;
  return aText.capacity() <= kInlineBytes ? 0 : aText.capacity() + 1;
}

std::size_t
BytesOf(const Event& aEvent)
{
  return sizeof(Event) + HeapBytes(aEvent.m_process) +
         HeapBytes(aEvent.m_job.Value()) + HeapBytes(aEvent.m_request) +
         HeapBytes(aEvent.m_team.Value()) + HeapBytes(aEvent.m_vm.Value()) +
         HeapBytes(aEvent.m_detail);
}

Json
ToJsonObject(const Event& aEvent)
{
  Json json = { { "micros", aEvent.m_at.m_micros },
                { "count", aEvent.m_at.m_count },
                { "sequence", aEvent.m_sequence },
                { "process", aEvent.m_process },
                { "event", NameOf(aEvent.m_kind) } };
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      json[aName] = aValue;
    }
  };
  add("job", aEvent.m_job.Value());
  add("request", aEvent.m_request);
  add("team", aEvent.m_team.Value());
  add("vm", aEvent.m_vm.Value());
  add("detail", aEvent.m_detail);
  return json;
}

Event
FromJson(const Json& aJson)
{
  const auto text = [&](const char* aName) {
    return aJson.value(aName, std::string());
  };
  Event event;
  event.m_at = { aJson.at("micros").get<std::int64_t>(),
                 aJson.at("count").get<std::uint32_t>() };
  event.m_sequence = aJson.at("sequence").get<std::uint64_t>();
  event.m_process = text("process");
  const auto kind = ParseName<EventKind>(text("event"));
  if (!kind) {
    throw Json::other_error::create(600, "unknown event name", &aJson);
  }
  event.m_kind = *kind;
  event.m_job = JobId(text("job"));
  event.m_request = text("request");
  event.m_team = TeamId(text("team"));
  event.m_vm = VmId(text("vm"));
  event.m_detail = text("detail");
  return event;
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
ToText(const Event& aEvent)
{
  std::string line = std::to_string(aEvent.m_at.m_micros) + "." +
                     std::to_string(aEvent.m_at.m_count) + " " +
                     aEvent.m_process + " " +
                     std::string(NameOf(aEvent.m_kind));
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      line += std::string(" ") + aName + "=" + aValue;
    }
  };
  add("job", aEvent.m_job.Value());
  add("request", aEvent.m_request);
  add("team", aEvent.m_team.Value());
  add("vm", aEvent.m_vm.Value());
  add("detail", aEvent.m_detail);
  return line + "\n";
}

/// Instant events on one track per process.
Json
ToChrome(const std::vector<Event>& aEvents)
{
  Json trace = Json::array();
  std::map<std::string, int> numbers;
  for (const Event& event : aEvents) {
    const auto next = static_cast<int>(numbers.size()) + 1;
    const auto [number, isNew] = numbers.emplace(event.m_process, next);
    if (isNew) {
      trace.push_back({ { "name", "process_name" },
                        { "ph", "M" },
                        { "pid", number->second },
                        { "args", { { "name", event.m_process } } } });
    }
    trace.push_back({ { "name", NameOf(event.m_kind) },
                      { "ph", "i" },
                      { "s", "p" },
                      { "ts", event.m_at.m_micros },
                      { "pid", number->second },
                      { "tid", 1 },
                      { "args", ToJsonObject(event) } });
  }
  return { { "traceEvents", trace }, { "displayTimeUnit", "ms" } };
}

template<typename T>
bool
MatchesField(const T& aWanted, const T& aValue)
{
  return aWanted.empty() || aWanted == aValue;
}

auto
OrderOf(const Event& aEvent)
{
  return std::tie(aEvent.m_at, aEvent.m_process, aEvent.m_sequence);
}

} // namespace

bool
EventFilter::Matches(const Event& aEvent) const
{
  return MatchesField(m_job, aEvent.m_job) &&
         MatchesField(m_request, aEvent.m_request) &&
         MatchesField(m_team, aEvent.m_team) &&
         MatchesField(m_vm, aEvent.m_vm) &&
         MatchesField(m_process, aEvent.m_process);
}

Timeline::Timeline(std::string aProcess, std::size_t aMaxBytes)
  : m_process(std::move(aProcess))
  , m_maxBytes(aMaxBytes)
{
}

HybridStamp
Timeline::Add(std::int64_t aWallMicros, Event aEvent)
{
  aEvent.m_at = m_clock.Next(aWallMicros);
  aEvent.m_sequence = ++m_lastSequence;
  aEvent.m_process = m_process;
  Clean(aEvent.m_request);
  Clean(aEvent.m_detail);
  aEvent.m_job = CleanId(aEvent.m_job);
  aEvent.m_team = CleanId(aEvent.m_team);
  aEvent.m_vm = CleanId(aEvent.m_vm);
  const HybridStamp stamp = aEvent.m_at;
  m_bytes += BytesOf(aEvent);
  m_events.push_back(std::move(aEvent));
  DropOldest();
  return stamp;
}

void
Timeline::SetMaxBytes(std::size_t aMaxBytes)
{
  m_maxBytes = aMaxBytes;
  DropOldest();
}

void
Timeline::DropOldest()
{
  while (m_bytes > m_maxBytes && !m_events.empty()) {
    m_bytes -= BytesOf(m_events.front());
    m_events.pop_front();
    ++m_dropped;
  }
}

void
Timeline::Receive(const HybridStamp& aSender, std::int64_t aWallMicros)
{
  m_clock.Receive(aSender, aWallMicros);
}

std::vector<Event>
Timeline::Find(const EventFilter& aFilter) const
{
  std::vector<Event> found;
  std::ranges::copy_if(
    m_events, std::back_inserter(found), [&](const Event& aEvent) {
      return aFilter.Matches(aEvent);
    });
  return found;
}

std::string
Timeline::ToJson(const EventFilter& aFilter) const
{
  Json events = Json::array();
  for (const Event& event : m_events) {
    if (aFilter.Matches(event)) {
      events.push_back(ToJsonObject(event));
    }
  }
  return Dump({ { "process", m_process },
                { "dropped", m_dropped },
                { "events", events } });
}

Result<std::vector<Event>>
ParseRing(const std::string& aBody)
{
  try {
    std::vector<Event> events;
    const Json ring = Json::parse(aBody);
    for (const Json& event : ring.at("events")) {
      events.push_back(FromJson(event));
    }
    return events;
  } catch (const Json::exception& error) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                std::string("time line is malformed: ") +
                  RedactKeys(error.what()));
  }
}

std::vector<Event>
MergeRings(const std::vector<std::vector<Event>>& aRings)
{
  std::vector<Event> merged;
  for (const auto& ring : aRings) {
    merged.insert(merged.end(), ring.begin(), ring.end());
  }
  std::ranges::stable_sort(merged, [](const Event& aLeft, const Event& aRight) {
    return OrderOf(aLeft) < OrderOf(aRight);
  });
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  return merged;
}

std::string
FormatEvents(const std::vector<Event>& aEvents, TimelineFormat aFormat)
{
  if (aFormat == TimelineFormat::Chrome) {
    return Dump(ToChrome(aEvents));
  }
  if (aFormat == TimelineFormat::Json) {
    Json events = Json::array();
    for (const Event& event : aEvents) {
      events.push_back(ToJsonObject(event));
    }
    return Dump({ { "events", events } });
  }
  std::string text;
  for (const Event& event : aEvents) {
    text += ToText(event);
  }
  return text;
}

} // namespace lacewing::observe
