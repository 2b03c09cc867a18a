/// The platform's list of VMs: a lagging view of live and leaving VMs.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Verdict.h"
#include "net/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::vmlist {

enum class VmKind : std::uint8_t
{
  Entry,
  Worker,
  Endpoint,
};

enum class VmState : std::uint8_t
{
  Live,
  Leaving,
};

struct Vm
{
  VmId m_vm;
  VmKind m_kind = VmKind::Worker;
  VmState m_state = VmState::Live;
  net::Address m_address;
  RegionId m_region;
  DomainId m_domain;
  std::string m_rack;
  Resources m_capacity;  ///< of a worker
  ServiceId m_service;   ///< of an endpoint
  int m_slots = 0;       ///< of an endpoint
  int m_connections = 0; ///< of an endpoint
};

std::string
EncodeVms(const std::vector<Vm>& aVms);
/// Errors: `BadInput` with what is wrong in the body.
Result<std::vector<Vm>>
DecodeVms(const std::string& aBody);

} // namespace lacewing::vmlist

template<>
struct lacewing::EnumNames<lacewing::vmlist::VmKind>
{
  using Kind = lacewing::vmlist::VmKind;
  static constexpr std::array kTable = {
    std::pair{ Kind::Entry, std::string_view("entry") },
    std::pair{ Kind::Worker, std::string_view("worker") },
    std::pair{ Kind::Endpoint, std::string_view("endpoint") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::vmlist::VmState>
{
  using State = lacewing::vmlist::VmState;
  static constexpr std::array kTable = {
    std::pair{ State::Live, std::string_view("live") },
    std::pair{ State::Leaving, std::string_view("leaving") },
  };
};
