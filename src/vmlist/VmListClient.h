/// Client of the platform's VM list.
#pragma once

#include "net/HttpClient.h"
#include "vmlist/VmList.h"

#include <functional>
#include <optional>

namespace lacewing::vmlist {

class VmListClient
{
public:
  VmListClient(net::HttpClient& aHttp, net::Address aAddress);

  /// Calls back exactly once; with nothing when the list cannot be had.
  void Fetch(Duration aTimeout,
             std::function<void(const std::optional<std::vector<Vm>>&)> aDone);

private:
  net::HttpClient& m_http;
  net::Address m_address;
};

} // namespace lacewing::vmlist
