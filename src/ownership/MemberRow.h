/// The row `member/<vm>`: one member of the cluster and its lease.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Verdict.h"

#include <cstdint>
#include <string>

namespace lacewing::ownership {

enum class MemberState : std::uint8_t
{
  Joining,
  Active,
  Draining,
  Deposed,
};

struct MemberRow
{
  MemberState m_state = MemberState::Joining;
  Incarnation m_incarnation = 0;
  std::string m_address;
  RegionId m_region;
  DomainId m_domain;
  std::uint64_t m_renewals = 0;
  std::string m_nonce;

  bool operator==(const MemberRow&) const = default;
};

inline constexpr const char* kMemberPrefix = "member/";

std::string
MemberKey(const VmId& aVm);
std::string
EncodeMember(const MemberRow& aRow);
/// Errors: `BadInput` with what is wrong in the row.
Result<MemberRow>
DecodeMember(const std::string& aText);

} // namespace lacewing::ownership

template<>
struct lacewing::EnumNames<lacewing::ownership::MemberState>
{
  using State = lacewing::ownership::MemberState;
  static constexpr std::array kTable = {
    std::pair{ State::Joining, std::string_view("joining") },
    std::pair{ State::Active, std::string_view("active") },
    std::pair{ State::Draining, std::string_view("draining") },
    std::pair{ State::Deposed, std::string_view("deposed") },
  };
};
