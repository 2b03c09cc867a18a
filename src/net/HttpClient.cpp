#include "net/HttpClient.h"

#include "net/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace lacewing::net {

namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 64;
/// A response above this size is treated as a failure of the peer.
constexpr ev_ssize_t kMaxResponseBytes = 4 * 1024 * 1024;
/// A shorter timeout counts as this one. libevent ends the process for a
/// negative one.
constexpr Duration kMinTimeout = milliseconds(1);

timeval
ToTimeval(Duration aDuration)
{
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  const Duration bounded = std::max(aDuration, kMinTimeout);
  timeval result{};
  result.tv_sec = bounded.count() / kMicrosecondsPerSecond;
  result.tv_usec = bounded.count() % kMicrosecondsPerSecond;
  return result;
}

evhttp_cmd_type
CommandOf(const std::string& aMethod)
{
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

HttpResponse
ToResponse(evhttp_request* aRequest)
{
  HttpResponse response;
  response.m_status = evhttp_request_get_response_code(aRequest);
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    response.m_headers[item->key] = item->value;
  }
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  response.m_body.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, response.m_body.data(), response.m_body.size());
  return response;
}

} // namespace

struct HttpClient::Connection
{
  evhttp_connection* m_handle = nullptr;
  bool m_busy = false;
  bool m_broken = false;

  ~Connection()
  {
    if (m_handle != nullptr) {
      evhttp_connection_free(m_handle);
    }
  }
};

struct HttpClient::Exchange
{
  std::shared_ptr<Connection> m_connection;
  HttpDone m_done;
  std::string m_peer;
  Loop* m_loop = nullptr;
  std::weak_ptr<Exchanges> m_exchanges;
  evbuffer* m_output = nullptr;
  evbuffer_cb_entry* m_watch = nullptr;
  bool m_bytesWritten = false;

  ~Exchange()
  {
    if (m_watch != nullptr) {
      evbuffer_remove_cb_entry(m_output, m_watch);
    }
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    // evhttp fills the output buffer only after the connection is established,
    // so a request without added bytes never reached the peer.
    auto* self = static_cast<Exchange*>(aSelf);
    if (aInfo->n_added > 0 && !self->m_bytesWritten) {
      self->m_bytesWritten = true;
      SetNoDelay(bufferevent_getfd(
        evhttp_connection_get_bufferevent(self->m_connection->m_handle)));
    }
  }

  static void OnError(evhttp_request_error, void*) {}

  static void OnResponse(evhttp_request* aRequest, void* aSelf)
  {
    auto* raw = static_cast<Exchange*>(aSelf);
    const auto exchanges = raw->m_exchanges.lock();
    const std::unique_ptr<Exchange> self =
      std::move(exchanges->extract(raw).mapped());
    evbuffer_remove_cb_entry(self->m_output, self->m_watch);
    self->m_watch = nullptr;
    HttpOutcome outcome;
    const int status =
      aRequest == nullptr ? 0 : evhttp_request_get_response_code(aRequest);
    if (status != 0) {
      outcome.m_response = ToResponse(aRequest);
      self->m_connection->m_busy = false;
      // The timeout of the request would close the idle connection.
      const timeval idle = ToTimeval(kIdleConnectionTime);
      evhttp_connection_set_timeout_tv(self->m_connection->m_handle, &idle);
    } else {
      self->m_connection->m_broken = true;
      outcome.m_error.m_verdict =
        self->m_bytesWritten ? Verdict::MayHaveRun : Verdict::NotRun;
      outcome.m_error.m_code = ErrorCode::Unavailable;
      outcome.m_error.m_message = self->m_bytesWritten
                                    ? "no whole response from " + self->m_peer
                                    : "no connection to " + self->m_peer;
      // The connection must outlive this callback, which evhttp calls from
      // inside of it.
      self->m_loop->After(Duration::zero(), [kept = self->m_connection] {});
    }
    self->m_done(outcome);
  }
};

HttpClient::HttpClient(Loop& aLoop, Priority aPriority)
  : m_loop(aLoop)
  , m_priority(aPriority)
  , m_exchanges(std::make_shared<Exchanges>())
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection>
HttpClient::Acquire(const Address& aTo)
{
  auto& connections = m_pool[aTo];
  std::erase_if(connections, [](const auto& aOne) { return aOne->m_broken; });
  for (const auto& connection : connections) {
    if (!connection->m_busy) {
      return connection;
    }
  }
  auto connection = std::make_shared<Connection>();
  connection->m_handle = evhttp_connection_base_new(
    m_loop.Base(), nullptr, aTo.m_ip.c_str(), aTo.m_port);
  evhttp_connection_set_max_body_size(connection->m_handle, kMaxResponseBytes);
  if (connections.size() < kMaxIdleConnectionsPerAddress) {
    connections.push_back(connection);
  }
  return connection;
}

void
HttpClient::Send(const Address& aTo,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 HttpDone aDone)
{
  auto exchange = std::make_unique<Exchange>();
  exchange->m_connection = Acquire(aTo);
  exchange->m_connection->m_busy = true;
  exchange->m_done = std::move(aDone);
  exchange->m_peer = aTo.ToString();
  exchange->m_loop = &m_loop;
  exchange->m_exchanges = m_exchanges;

  evhttp_connection* handle = exchange->m_connection->m_handle;
  const timeval timeout = ToTimeval(aTimeout);
  evhttp_connection_set_timeout_tv(handle, &timeout);

  exchange->m_output =
    bufferevent_get_output(evhttp_connection_get_bufferevent(handle));
  exchange->m_watch =
    evbuffer_add_cb(exchange->m_output, Exchange::OnOutput, exchange.get());

  evhttp_request* request =
    evhttp_request_new(Exchange::OnResponse, exchange.get());
  evhttp_request_set_error_cb(request, Exchange::OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", exchange->m_peer.c_str());
  for (const auto& [name, value] : aRequest.m_headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aRequest.m_body.data(),
               aRequest.m_body.size());
  Exchange* owned = exchange.get();
  m_exchanges->emplace(owned, std::move(exchange));
  const std::string path = aRequest.m_path;
  if (evhttp_make_request(
        handle, request, CommandOf(aRequest.m_method), path.c_str()) != 0) {
    // evhttp has freed the request without a callback.
    m_loop.After(Duration::zero(), [owned, weak = std::weak_ptr(m_exchanges)] {
      if (const auto exchanges = weak.lock(); exchanges != nullptr) {
        Exchange::OnResponse(nullptr, owned);
      }
    });
    return;
  }
  // A connection loses its priority as it gets its socket.
  bufferevent_priority_set(evhttp_connection_get_bufferevent(handle),
                           static_cast<int>(m_priority));
}

std::size_t
HttpClient::BusyConnections() const
{
  std::size_t count = 0;
  for (const auto& [address, connections] : m_pool) {
    count += static_cast<std::size_t>(std::count_if(
      connections.begin(), connections.end(), [](const auto& aOne) {
        return aOne->m_busy;
      }));
  }
  return count;
}

} // namespace lacewing::net
