#include "vmlist/VmList.h"

#include <nlohmann/json.hpp>

namespace lacewing::vmlist {

namespace {

using Json = nlohmann::json;

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

Result<Vm>
VmFrom(const Json& aJson)
{
  Vm vm;
  vm.m_vm = VmId(aJson.at("vm").get<std::string>());
  BOOST_LEAF_ASSIGN(vm.m_kind, EnumFrom<VmKind>(aJson.at("kind")));
  BOOST_LEAF_ASSIGN(vm.m_state, EnumFrom<VmState>(aJson.at("state")));
  BOOST_LEAF_ASSIGN(vm.m_address,
                    net::ParseAddress(aJson.at("address").get<std::string>()));
  vm.m_region = RegionId(aJson.at("region").get<std::string>());
  vm.m_domain = DomainId(aJson.at("domain").get<std::string>());
  vm.m_rack = aJson.value("rack", "");
  vm.m_capacity.m_millicores = aJson.value("millicores", std::int64_t{ 0 });
  vm.m_capacity.m_memoryMib = aJson.value("memory_mib", std::int64_t{ 0 });
  vm.m_capacity.m_accelerators = aJson.value("accelerators", std::int64_t{ 0 });
  vm.m_service = ServiceId(aJson.value("service", ""));
  vm.m_slots = aJson.value("slots", 0);
  vm.m_connections = aJson.value("connections", 0);
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
    for (const Json& item : body.at("vms")) {
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
