#include "vmlist/VmList.h"

#include "core/JsonFields.h"

namespace lacewing::vmlist {

namespace {

using Json = nlohmann::json;

/// Largest number of slots or connections of an endpoint; sums over a fleet
/// stay within an int.
constexpr int kMaxSlots = 100'000;

Json
ToJson(const Vm& aVm)
{
  return { { "vm", aVm.m_vm.Value() },
           { "kind", NameOf(aVm.m_kind) },
           { "state", NameOf(aVm.m_state) },
           { "address", aVm.m_address.ToString() },
           { "region", aVm.m_region.Value() },
           { "domain", aVm.m_domain.Value() },
           { "rack", aVm.m_rack },
           { "millicores", aVm.m_capacity.m_millicores },
           { "memory_mib", aVm.m_capacity.m_memoryMib },
           { "accelerators", aVm.m_capacity.m_accelerators },
           { "service", aVm.m_service.Value() },
           { "slots", aVm.m_slots },
           { "connections", aVm.m_connections } };
}

template<typename Enum>
Result<Enum>
EnumFrom(const Json& aJson)
{
  const auto text = aJson.get<std::string>();
  if (const auto value = ParseName<Enum>(text)) {
    return *value;
  }
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              "VM list has the unknown name '" + text + "'");
}

/// An optional whole number, 0 if it is absent.
template<typename Number>
Number
AmountFrom(const Json& aJson, const char* aField, Number aMax)
{
  const auto found = aJson.find(aField);
  return found == aJson.end() ? 0
                              : WholeNumber<Number>(*found, aField, 0, aMax);
}

Result<Vm>
VmFrom(const Json& aJson)
{
  Vm vm;
  vm.m_vm = VmId(TypedField<std::string>(aJson, "vm"));
  BOOST_LEAF_ASSIGN(vm.m_kind, EnumFrom<VmKind>(aJson.at("kind")));
  BOOST_LEAF_ASSIGN(vm.m_state, EnumFrom<VmState>(aJson.at("state")));
  BOOST_LEAF_ASSIGN(
    vm.m_address, net::ParseAddress(TypedField<std::string>(aJson, "address")));
  vm.m_region = RegionId(TypedField<std::string>(aJson, "region"));
  vm.m_domain = DomainId(TypedField<std::string>(aJson, "domain"));
  vm.m_rack = aJson.value("rack", "");
  vm.m_capacity.m_millicores =
    AmountFrom(aJson, "millicores", kMaxResourceAmount);
  vm.m_capacity.m_memoryMib =
    AmountFrom(aJson, "memory_mib", kMaxResourceAmount);
  vm.m_capacity.m_accelerators =
    AmountFrom(aJson, "accelerators", kMaxResourceAmount);
  vm.m_service = ServiceId(aJson.value("service", ""));
  vm.m_slots = AmountFrom(aJson, "slots", kMaxSlots);
  vm.m_connections = AmountFrom(aJson, "connections", kMaxSlots);
  return vm;
}

} // namespace

std::string
EncodeVms(const std::vector<Vm>& aVms)
{
  Json vms = Json::array();
  for (const Vm& vm : aVms) {
    vms.push_back(ToJson(vm));
  }
  const Json body = { { "vms", vms } };
  return body.dump();
}

Result<std::vector<Vm>>
DecodeVms(const std::string& aBody)
{
  try {
    const Json body = Json::parse(aBody);
    std::vector<Vm> vms;
    for (const Json& item : ArrayField(body, "vms")) {
      BOOST_LEAF_AUTO(vm, VmFrom(item));
      vms.push_back(std::move(vm));
    }
    return vms;
  } catch (const Json::exception& error) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                std::string("VM list is malformed: ") + error.what());
  }
}

} // namespace lacewing::vmlist
