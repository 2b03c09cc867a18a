#include "routing/RequestQueue.h"

#include <algorithm>
#include <cmath>

namespace lacewing::routing {

namespace {

constexpr std::size_t
IndexOf(RequestClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

/// Part of the entries that have an earlier deadline, taking deadlines as
/// evenly spread; exact counts would need an order-statistics tree.
double
EarlierPart(Time aFirst, Time aLast, Time aDeadline)
{
  if (aDeadline <= aFirst) {
    return 0.0;
  }
  if (aDeadline >= aLast) {
    return 1.0;
  }
  return static_cast<double>((aDeadline - aFirst).count()) /
         static_cast<double>((aLast - aFirst).count());
}

} // namespace

RequestQueue::RequestQueue(QueueOptions aOptions)
  : m_options(aOptions)
{
}

RequestQueue::ClassQueue&
RequestQueue::ClassOf(const Request& aRequest)
{
  return m_classes[IndexOf(aRequest.m_class)];
}

const RequestQueue::ClassQueue&
RequestQueue::ClassOf(const Request& aRequest) const
{
  return m_classes[IndexOf(aRequest.m_class)];
}

double
RequestQueue::WeightOf(const TeamId& aTeam) const
{
  const auto found = m_weights.find(aTeam);
  return found == m_weights.end() ? 1.0 : found->second;
}

void
RequestQueue::SetWeight(const TeamId& aTeam, double aWeight)
{
  if (aWeight > 0.0) {
    m_weights[aTeam] = aWeight;
  }
}

std::vector<QueuedRequest>
RequestQueue::Push(QueuedRequest aRequest)
{
  const std::size_t index = IndexOf(aRequest.m_request.m_class);
  std::vector<QueuedRequest> shed;
  if (m_classes[index].m_requests.size() >= m_options.m_maxPerClass[index]) {
    shed.push_back(std::move(aRequest));
    return shed;
  }
  if (m_size >= m_options.m_maxTotal) {
    const bool patient = aRequest.m_request.m_class == RequestClass::Patient;
    auto newest = patient ? std::nullopt : ShedNewestPatient();
    if (!newest) {
      shed.push_back(std::move(aRequest));
      return shed;
    }
    shed.push_back(std::move(*newest));
  }
  Insert(std::move(aRequest));
  return shed;
}

void
RequestQueue::PushBack(QueuedRequest aRequest)
{
  Insert(std::move(aRequest));
}

void
RequestQueue::Insert(QueuedRequest aRequest)
{
  ClassQueue& queue = ClassOf(aRequest.m_request);
  const Sequence sequence = m_next++;
  const std::pair entry{ aRequest.m_request.m_deadline, sequence };
  const TeamId& team = aRequest.m_request.m_team;
  TeamQueue& own = queue.m_teams[team];
  if (own.m_entries.empty()) {
    // A team that was idle gets no credit for the time it did not use.
    own.m_pass = std::max(own.m_pass, queue.m_pass);
    queue.m_active.emplace(own.m_pass, team);
  }
  own.m_entries.insert(entry);
  queue.m_byDeadline.insert(entry);
  queue.m_requests.emplace(sequence, std::move(aRequest));
  ++m_size;
}

QueuedRequest
RequestQueue::Remove(ClassQueue& aClass, Sequence aSequence)
{
  auto node = aClass.m_requests.extract(aSequence);
  QueuedRequest request = std::move(node.mapped());
  const std::pair entry{ request.m_request.m_deadline, aSequence };
  aClass.m_byDeadline.erase(entry);
  TeamQueue& own = aClass.m_teams[request.m_request.m_team];
  own.m_entries.erase(entry);
  if (own.m_entries.empty()) {
    aClass.m_active.erase({ own.m_pass, request.m_request.m_team });
  }
  --m_size;
  return request;
}

std::optional<QueuedRequest>
RequestQueue::PopClass(ClassQueue& aClass, const MayStart& aMayStart)
{
  for (const auto& [pass, team] : aClass.m_active) {
    if (!aMayStart(team)) {
      continue;
    }
    TeamQueue& own = aClass.m_teams[team];
    QueuedRequest request =
      Remove(aClass, own.m_entries.begin()->second); // may erase `team`
    const TeamId& name = request.m_request.m_team;
    aClass.m_pass = std::max(aClass.m_pass, own.m_pass);
    aClass.m_active.erase({ own.m_pass, name });
    own.m_pass += 1.0 / WeightOf(name);
    if (!own.m_entries.empty()) {
      aClass.m_active.emplace(own.m_pass, name);
    }
    return request;
  }
  return std::nullopt;
}

std::optional<QueuedRequest>
RequestQueue::Pop(const MayStart& aMayStart)
{
  for (ClassQueue& queue : m_classes) {
    auto request = PopClass(queue, aMayStart);
    if (request) {
      return request;
    }
  }
  return std::nullopt;
}

std::vector<QueuedRequest>
RequestQueue::PopExpired(Time aTime)
{
  std::vector<QueuedRequest> expired;
  for (ClassQueue& queue : m_classes) {
    while (!queue.m_byDeadline.empty() &&
           queue.m_byDeadline.begin()->first <= aTime) {
      expired.push_back(Remove(queue, queue.m_byDeadline.begin()->second));
    }
  }
  return expired;
}

std::vector<QueuedRequest>
RequestQueue::Clear()
{
  return PopExpired(Time::max());
}

std::optional<QueuedRequest>
RequestQueue::ShedNewestPatient()
{
  ClassQueue& patient = m_classes[IndexOf(RequestClass::Patient)];
  if (patient.m_requests.empty()) {
    return std::nullopt;
  }
  return Remove(patient, patient.m_requests.rbegin()->first);
}

std::size_t
RequestQueue::CountAhead(const Request& aRequest) const
{
  double ahead = 0.0;
  for (std::size_t index = 0; index < IndexOf(aRequest.m_class); ++index) {
    ahead += static_cast<double>(m_classes[index].m_requests.size());
  }
  const ClassQueue& queue = ClassOf(aRequest);
  const auto own = queue.m_teams.find(aRequest.m_team);
  double before = 0.0;
  if (own != queue.m_teams.end() && !own->second.m_entries.empty()) {
    const ByDeadline& entries = own->second.m_entries;
    before =
      static_cast<double>(entries.size()) * EarlierPart(entries.begin()->first,
                                                        entries.rbegin()->first,
                                                        aRequest.m_deadline);
  }
  const double weight = WeightOf(aRequest.m_team);
  for (const auto& [pass, team] : queue.m_active) {
    if (team == aRequest.m_team) {
      ahead += before;
      continue;
    }
    const auto backlog =
      static_cast<double>(queue.m_teams.at(team).m_entries.size());
    ahead += std::min(backlog, before * WeightOf(team) / weight);
  }
  return static_cast<std::size_t>(std::ceil(ahead));
}

std::size_t
RequestQueue::CountOf(RequestClass aClass) const
{
  return m_classes[IndexOf(aClass)].m_requests.size();
}

std::optional<Time>
RequestQueue::EarliestDeadline() const
{
  std::optional<Time> earliest;
  for (const ClassQueue& queue : m_classes) {
    if (queue.m_byDeadline.empty()) {
      continue;
    }
    const Time first = queue.m_byDeadline.begin()->first;
    earliest = earliest ? std::min(*earliest, first) : first;
  }
  return earliest;
}

} // namespace lacewing::routing
