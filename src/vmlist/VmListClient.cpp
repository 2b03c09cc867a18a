#include "vmlist/VmListClient.h"

namespace lacewing::vmlist {

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;

std::optional<std::vector<Vm>>
DecodeOrNothing(const std::string& aBody)
{
  std::optional<std::vector<Vm>> vms;
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(vms, DecodeVms(aBody));
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
  if (!m_tag.empty()) {
    request.m_headers["If-None-Match"] = m_tag;
  }
  m_http.Send(m_address,
              request,
              aTimeout,
              [this, done = std::move(aDone)](
                const net::HttpOutcome& aOutcome) { done(Take(aOutcome)); });
}

std::optional<std::vector<Vm>>
VmListClient::Take(const net::HttpOutcome& aOutcome)
{
  if (!aOutcome.m_response) {
    return std::nullopt;
  }
  const net::HttpResponse& response = *aOutcome.m_response;
  if (response.m_status == kNotModified && !m_tag.empty()) {
    return m_last;
  }
  auto vms =
    response.m_status == kOk ? DecodeOrNothing(response.m_body) : std::nullopt;
  if (vms) {
    const auto tag = response.m_headers.find("ETag");
    m_tag = tag == response.m_headers.end() ? "" : tag->second;
    m_last = *vms;
  }
  return vms;
}

} // namespace lacewing::vmlist
