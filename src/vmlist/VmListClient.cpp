#include "vmlist/VmListClient.h"

namespace lacewing::vmlist {

namespace {

std::optional<std::vector<Vm>>
ToVms(const net::HttpOutcome& aOutcome)
{
  constexpr int kOk = 200;
  if (!aOutcome.m_response || aOutcome.m_response->m_status != kOk) {
    return std::nullopt;
  }
  std::optional<std::vector<Vm>> vms;
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(vms, DecodeVms(aOutcome.m_response->m_body));
      return {};
    },
    [] {});
  return vms;
}

} // namespace

VmListClient::VmListClient(net::HttpClient& aHttp, net::Address aAddress)
  : m_http(aHttp)
  , m_address(std::move(aAddress))
{
}

void
VmListClient::Fetch(
  Duration aTimeout,
  std::function<void(const std::optional<std::vector<Vm>>&)> aDone)
{
  net::HttpRequest request;
  request.m_method = "GET";
  request.m_path = "/v1/vms";
  m_http.Send(m_address,
              request,
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                done(ToVms(aOutcome));
              });
}

} // namespace lacewing::vmlist
