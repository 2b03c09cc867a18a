/// Identifiers as distinct types, so that a team name cannot be passed where a
/// VM name is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lacewing {

/// A string with a tag that makes it a type of its own.
template<typename Tag>
class StringId
{
public:
  StringId() = default;
  explicit StringId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool empty() const { return m_value.empty(); }
  auto operator<=>(const StringId&) const = default;

  friend std::ostream& operator<<(std::ostream& aOut, const StringId& aId)
  {
    return aOut << aId.m_value;
  }

private:
  std::string m_value;
};

/// A VM, be it an entry VM, a worker or an endpoint.
using VmId = StringId<struct VmIdTag>;
using TeamId = StringId<struct TeamIdTag>;
using JobId = StringId<struct JobIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using DomainId = StringId<struct DomainIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
/// A part of the fleet that has one owner at a time.
using SliceId = StringId<struct SliceIdTag>;

/// Ownership generation of a slice; grows with each change of owner.
using Epoch = std::uint64_t;
/// Distinguishes successive processes on the same VM.
using Incarnation = std::uint64_t;
/// Version of a table row; 0 stands for an absent row.
using RowVersion = std::uint64_t;

/// One task of a job.
struct TaskId
{
  JobId m_job;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskId&) const = default;
};

} // namespace lacewing

template<typename Tag>
struct std::hash<lacewing::StringId<Tag>>
{
  std::size_t operator()(const lacewing::StringId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<>
struct std::hash<lacewing::TaskId>
{
  std::size_t operator()(const lacewing::TaskId& aId) const noexcept
  {
    constexpr std::size_t kMix = 0x9E3779B97F4A7C15ULL;
    return std::hash<lacewing::JobId>()(aId.m_job) ^ (aId.m_index * kMix);
  }
};
