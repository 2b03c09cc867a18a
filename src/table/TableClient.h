/// Client of the platform's table service.
#pragma once

#include "net/HttpClient.h"
#include "table/TableTypes.h"

#include <functional>

namespace lacewing::table {

using CommitDone = std::function<void(const CommitResult&)>;
using ReadDone = std::function<void(const ReadResult&)>;

class TableClient
{
public:
  TableClient(net::HttpClient& aHttp, net::Address aAddress);

  /// Calls back exactly once; `Unknown` when there is no answer in time.
  void Submit(const Commit& aCommit, Duration aTimeout, CommitDone aDone);
  /// Calls back exactly once; `m_ok` is false when there is no answer in time.
  void Fetch(const Read& aRead, Duration aTimeout, ReadDone aDone);

private:
  net::HttpClient& m_http;
  net::Address m_address;
};

} // namespace lacewing::table
