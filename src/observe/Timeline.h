/// A bounded ring of typed events per process, merged by the client into one
/// time line.
#pragma once

#include "core/EnumNames.h"
#include "core/HybridClock.h"
#include "core/Ids.h"
#include "core/Verdict.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lacewing::observe {

enum class EventKind : std::uint8_t
{
  RequestReceived,
  RequestAdmitted,
  RequestQueued,
  RequestForwarded,
  RequestDispatched,
  RequestAnswered,
  RequestRefused,
  JobAccepted,
  JobQueued,
  JobCancelled,
  JobMoved,
  TaskStarted,
  TaskEnded,
  TaskPreempted,
  WorkerSuspect,
  EndpointLeaving,
  SliceClaimed,
  SliceAdopted,
  SliceReleased,
  SliceLost,
  MemberState,
  LimitChanged,
  SettingsChange,
  SettingsInForce,
  KeysUsable,
  ProtocolStep,
  PeerRefused,
  StoreState,
};

/// What happened to whom. Empty fields don't apply.
struct Event
{
  HybridStamp m_at;
  std::uint64_t m_sequence = 0; ///< order within the process
  std::string m_process;        ///< VM of the process that recorded it
  EventKind m_kind = EventKind::ProtocolStep;
  JobId m_job;
  std::string m_request;
  TeamId m_team;
  VmId m_vm; ///< worker, endpoint or member concerned
  std::string m_detail;

  bool operator==(const Event&) const = default;
};

/// Fields that are set must be equal.
struct EventFilter
{
  JobId m_job;
  std::string m_request;
  TeamId m_team;
  VmId m_vm;
  std::string m_process;

  bool Matches(const Event& aEvent) const;
};

class Timeline
{
public:
  Timeline(std::string aProcess, std::size_t aMaxBytes);

  /// A smaller ring drops its oldest events at once.
  void SetMaxBytes(std::size_t aMaxBytes);
  /// Records an event with the next stamp; the oldest ones give way. Keys in
  /// the event are replaced.
  HybridStamp Add(std::int64_t aWallMicros, Event aEvent);
  /// Moves the clock past a stamp that came with a message.
  void Receive(const HybridStamp& aSender, std::int64_t aWallMicros);

  std::vector<Event> Find(const EventFilter& aFilter) const;
  /// `{"process", "dropped", "events"}`, the body of `/timeline`.
  std::string ToJson(const EventFilter& aFilter) const;

  std::size_t size() const { return m_events.size(); }
  std::size_t Bytes() const { return m_bytes; }
  std::uint64_t Dropped() const { return m_dropped; }

private:
  void DropOldest();

  std::string m_process;
  std::size_t m_maxBytes;
  HybridClock m_clock;
  std::deque<Event> m_events;
  std::size_t m_bytes = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_lastSequence = 0;
};

/// The events of a body of `/timeline`. Errors: `BadInput`.
Result<std::vector<Event>>
ParseRing(const std::string& aBody);

/// All events in the order of stamp, process and sequence; an event that is in
/// several rings appears once.
std::vector<Event>
MergeRings(const std::vector<std::vector<Event>>& aRings);

enum class TimelineFormat : std::uint8_t
{
  Text,
  Json,
  Chrome, ///< trace-event format of Chrome's tracing page
};

std::string
FormatEvents(const std::vector<Event>& aEvents, TimelineFormat aFormat);

} // namespace lacewing::observe

template<>
struct lacewing::EnumNames<lacewing::observe::TimelineFormat>
{
  using Format = lacewing::observe::TimelineFormat;
  static constexpr std::array kTable = {
    std::pair{ Format::Text, std::string_view("text") },
    std::pair{ Format::Json, std::string_view("json") },
    std::pair{ Format::Chrome, std::string_view("chrome") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::observe::EventKind>
{
  using Kind = lacewing::observe::EventKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::RequestReceived, std::string_view("request_received") },
    std::pair{ Kind::RequestAdmitted, std::string_view("request_admitted") },
    std::pair{ Kind::RequestQueued, std::string_view("request_queued") },
    std::pair{ Kind::RequestForwarded, std::string_view("request_forwarded") },
    std::pair{ Kind::RequestDispatched,
               std::string_view("request_dispatched") },
    std::pair{ Kind::RequestAnswered, std::string_view("request_answered") },
    std::pair{ Kind::RequestRefused, std::string_view("request_refused") },
    std::pair{ Kind::JobAccepted, std::string_view("job_accepted") },
    std::pair{ Kind::JobQueued, std::string_view("job_queued") },
    std::pair{ Kind::JobCancelled, std::string_view("job_cancelled") },
    std::pair{ Kind::JobMoved, std::string_view("job_moved") },
    std::pair{ Kind::TaskStarted, std::string_view("task_started") },
    std::pair{ Kind::TaskEnded, std::string_view("task_ended") },
    std::pair{ Kind::TaskPreempted, std::string_view("task_preempted") },
    std::pair{ Kind::WorkerSuspect, std::string_view("worker_suspect") },
    std::pair{ Kind::EndpointLeaving, std::string_view("endpoint_leaving") },
    std::pair{ Kind::SliceClaimed, std::string_view("slice_claimed") },
    std::pair{ Kind::SliceAdopted, std::string_view("slice_adopted") },
    std::pair{ Kind::SliceReleased, std::string_view("slice_released") },
    std::pair{ Kind::SliceLost, std::string_view("slice_lost") },
    std::pair{ Kind::MemberState, std::string_view("member_state") },
    std::pair{ Kind::LimitChanged, std::string_view("limit_changed") },
    std::pair{ Kind::SettingsChange, std::string_view("settings_change") },
    std::pair{ Kind::SettingsInForce, std::string_view("settings_in_force") },
    std::pair{ Kind::KeysUsable, std::string_view("keys_usable") },
    std::pair{ Kind::ProtocolStep, std::string_view("protocol_step") },
    std::pair{ Kind::PeerRefused, std::string_view("peer_refused") },
    std::pair{ Kind::StoreState, std::string_view("store_state") },
  };
};
