/// HTTP client over evhttp: pooled connections, one request at a time on each,
/// and a verdict for every request that ends without a response.
#pragma once

#include "core/Time.h"
#include "core/Verdict.h"
#include "net/Address.h"
#include "net/HttpMessage.h"
#include "net/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing::net {

/// Either a whole response or an error with its verdict.
struct HttpOutcome
{
  std::optional<HttpResponse> m_response;
  Error m_error;
};

/// An idle connection is closed after this time, before most servers close it:
/// a request that meets a close would be left in doubt.
constexpr Duration kIdleConnectionTime = seconds(3);

using HttpDone = std::function<void(const HttpOutcome&)>;

class HttpClient
{
public:
  explicit HttpClient(Loop& aLoop, Priority aPriority = Priority::Normal);
  /// Requests that are open are not called back.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request; the path contains the query. Calls back exactly once, at
  /// the latest after the timeout.
  void Send(const Address& aTo,
            const HttpRequest& aRequest,
            Duration aTimeout,
            HttpDone aDone);

  /// Connections that carry a request at present.
  std::size_t BusyConnections() const;

private:
  struct Connection;
  struct Exchange;

  std::shared_ptr<Connection> Acquire(const Address& aTo);

  using Exchanges = std::map<Exchange*, std::unique_ptr<Exchange>>;

  Loop& m_loop;
  Priority m_priority;
  std::map<Address, std::vector<std::shared_ptr<Connection>>> m_pool;
  /// Open ones; evhttp holds plain pointers to them.
  std::shared_ptr<Exchanges> m_exchanges;
};

} // namespace lacewing::net
