/// Client of the platform's VM list.
#pragma once

#include "net/HttpClient.h"
#include "vmlist/VmList.h"

#include <functional>
#include <optional>

namespace lacewing::vmlist {

/// Asks with the entity tag of its last list, so that an unchanged list is not
/// sent again: at 5,000 VMs it has more than a megabyte.
class VmListClient
{
public:
  VmListClient(net::HttpClient& aHttp, net::Address aAddress);

  /// Calls back exactly once; with nothing when the list cannot be had.
  void Fetch(Duration aTimeout,
             std::function<void(const std::optional<std::vector<Vm>>&)> aDone);

private:
  std::optional<std::vector<Vm>> Take(const net::HttpOutcome& aOutcome);

  net::HttpClient& m_http;
  net::Address m_address;
  std::string m_tag; ///< of `m_last`; empty if there is none
  std::vector<Vm> m_last;
};

} // namespace lacewing::vmlist
