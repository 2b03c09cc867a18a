#include "net/HttpServer.h"

#include "net/HttpClient.h"
#include "net/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <nlohmann/json.hpp>

#include <poll.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <optional>
#include <utility>

namespace lacewing::net {

namespace {

/// A client sends its first request within this time after it has connected.
constexpr Duration kQuietTime = milliseconds(200);
/// Clients with this project's HTTP client have closed their idle connections
/// by then.
constexpr Duration kCloseBound = kIdleConnectionTime + seconds(1);
constexpr const char* kRetryAfterSeconds = "1";

/// Memory that libevent takes at most for a read of that many bytes. Its
/// blocks have sizes of powers of two, and a block whose bytes belong to a
/// chunked body is kept as it is.
std::size_t
MemoryOfRead(std::size_t aBytes)
{
  constexpr std::size_t kLeastBlock = 1024;
  constexpr std::size_t kBlockHeader = 64;
  return std::max(kLeastBlock, std::bit_ceil(aBytes + kBlockHeader));
}

std::string
MethodName(evhttp_cmd_type aCommand)
{
  switch (aCommand) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "";
  }
}

std::string
BodyOf(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

std::string
DecodedPath(evhttp_request* aRequest)
{
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = evhttp_uri_get_path(uri);
  if (path == nullptr) {
    return "/";
  }
  std::size_t length = 0;
  char* decoded = evhttp_uridecode(path, 0, &length);
  std::string text(decoded == nullptr ? "" : decoded, length);
  free(decoded); // NOLINT: allocated by libevent with malloc
  return text;
}

std::map<std::string, std::string>
QueryOf(evhttp_request* aRequest)
{
  std::map<std::string, std::string> result;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* query = evhttp_uri_get_query(uri);
  if (query == nullptr) {
    return result;
  }
  evkeyvalq values{};
  if (evhttp_parse_query_str(query, &values) != 0) {
    return result;
  }
  for (const evkeyval* item = values.tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    result[item->key] = item->value;
  }
  evhttp_clear_headers(&values);
  return result;
}

/// Number of header lines; repeated names count each time.
std::size_t
HeaderCount(evhttp_request* aRequest)
{
  std::size_t count = 0;
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    ++count;
  }
  return count;
}

bool
IsUtf8(const std::string& aText)
{
  const auto isAscii = [](char aByte) {
    return static_cast<unsigned char>(aByte) < 0x80;
  };
  if (std::ranges::all_of(aText, isAscii)) {
    return true;
  }
  try {
    const std::string quoted = nlohmann::json(aText).dump();
    return !quoted.empty();
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

/// True if the path and the query are valid UTF-8. Handlers put parts of them
/// into JSON texts, and the library refuses other bytes with an exception.
bool
HasTextTarget(const HttpRequest& aRequest)
{
  return IsUtf8(aRequest.m_path) &&
         std::ranges::all_of(aRequest.m_query, [](const auto& aItem) {
           return IsUtf8(aItem.first) && IsUtf8(aItem.second);
         });
}

HttpRequest
ToRequest(evhttp_request* aRequest)
{
  HttpRequest request;
  request.m_method = MethodName(evhttp_request_get_command(aRequest));
  request.m_path = DecodedPath(aRequest);
  request.m_query = QueryOf(aRequest);
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    request.m_headers[item->key] = item->value;
  }
  request.m_body = BodyOf(aRequest);
  return request;
}

/// What is wrong with a request, whoever handles it.
std::optional<Error>
InputError(evhttp_request* aEvent,
           const HttpRequest& aRequest,
           const HttpServerLimits& aLimits)
{
  const std::size_t headerCount = HeaderCount(aEvent);
  if (headerCount > aLimits.m_maxHeaderCount) {
    return Error{ Verdict::NotRun,
                  ErrorCode::TooLarge,
                  "request has " + std::to_string(headerCount) +
                    " headers; at most " +
                    std::to_string(aLimits.m_maxHeaderCount) + " are taken" };
  }
  if (!HasTextTarget(aRequest)) {
    return Error{ Verdict::NotRun,
                  ErrorCode::BadInput,
                  "path or query of '" + aRequest.m_path +
                    "' is not valid UTF-8" };
  }
  return std::nullopt;
}

HttpResponse
MemoryRefusal()
{
  HttpResponse response =
    ErrorResponse({ Verdict::NotRun,
                    ErrorCode::Unavailable,
                    "the requests under way take too much memory" });
  response.m_headers["Retry-After"] = kRetryAfterSeconds;
  return response;
}

void
Send(evhttp_request* aRequest, const HttpResponse& aResponse, bool aClose)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  if (aClose) {
    evhttp_add_header(headers, "Connection", "close");
  }
  for (const auto& [name, value] : aResponse.m_headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* output = evbuffer_new();
  evbuffer_add(output, aResponse.m_body.data(), aResponse.m_body.size());
  evhttp_send_reply(aRequest, aResponse.m_status, nullptr, output);
  evbuffer_free(output);
}

} // namespace

HttpServer::HttpServer(Loop& aLoop,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_handler(std::move(aHandler))
  , m_server(evhttp_new(aLoop.Base()))
  , m_state(std::make_shared<State>(aLimits.m_connections))
{
  evhttp_set_bevcb(m_server, OnAccept, this);
  evhttp_set_max_headers_size(
    m_server, static_cast<ev_ssize_t>(m_limits.m_maxHeaderBytes));
  evhttp_set_max_body_size(m_server,
                           static_cast<ev_ssize_t>(m_limits.m_maxBodyBytes));
  evhttp_set_timeout(m_server,
                     static_cast<int>(m_limits.m_idleTimeout.count()));
  evhttp_set_allowed_methods(m_server,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE);
  evhttp_set_gencb(m_server, OnRequest, this);
}

HttpServer::~HttpServer()
{
  while (!m_accepted.empty()) {
    Forget(ConnectionBook::Id(m_accepted.begin()->first));
  }
  evhttp_free(m_server);
}

void
HttpServer::SetOnOverload(OnOverload aOnOverload)
{
  m_state->m_onOverload = std::move(aOnOverload);
}

bufferevent*
HttpServer::OnAccept(event_base* aBase, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  bufferevent* events = bufferevent_socket_new(aBase, -1, 0);
  // evhttp goes on reading while a response waits to be sent, without bound. It
  // needs a whole body in the buffer before it takes it out.
  bufferevent_setwatermark(events,
                           EV_READ,
                           0,
                           self->m_limits.m_maxHeaderBytes +
                             self->m_limits.m_maxBodyBytes);
  bufferevent_incref(events); // until the connection is forgotten here
  auto accepted = std::make_unique<Accepted>();
  accepted->m_server = self;
  accepted->m_id = self->m_state->m_book.Open();
  accepted->m_events = events;
  evbuffer_add_cb(bufferevent_get_input(events), OnInput, accepted.get());
  const ConnectionBook::Id id = accepted->m_id;
  self->m_accepted.emplace(id, std::move(accepted));
  self->m_ids[events] = id;
  self->m_loop.After(Duration::zero(),
                     [weak = std::weak_ptr(self->m_state), self, id] {
                       if (!weak.expired()) {
                         self->Identify(id);
                       }
                     });
  return events;
}

void
HttpServer::Identify(ConnectionBook::Id aId)
{
  const auto it = m_accepted.find(aId);
  if (it == m_accepted.end() || it->second->m_connection != nullptr) {
    return;
  }
  // evhttp passes its object to its own callbacks; there are none once it has
  // closed the connection.
  void* argument = nullptr;
  bufferevent_getcb(it->second->m_events, nullptr, nullptr, nullptr, &argument);
  if (argument == nullptr) {
    Forget(aId);
    return;
  }
  auto* connection = static_cast<evhttp_connection*>(argument);
  it->second->m_connection = connection;
  evhttp_connection_set_closecb(connection, OnClosed, this);
  ShedSoon();
}

void
HttpServer::Forget(ConnectionBook::Id aId)
{
  const auto it = m_accepted.find(aId);
  if (it == m_accepted.end()) {
    return;
  }
  Accepted& accepted = *it->second;
  evbuffer_remove_cb(
    bufferevent_get_input(accepted.m_events), OnInput, &accepted);
  bufferevent_decref(accepted.m_events);
  m_ids.erase(accepted.m_events);
  m_accepted.erase(it);
  m_state->m_book.OnClosed(aId);
}

void
HttpServer::OnInput(evbuffer*, const evbuffer_cb_info* aInfo, void* aAccepted)
{
  const auto* accepted = static_cast<Accepted*>(aAccepted);
  accepted->m_server->m_state->m_book.OnReceived(accepted->m_id,
                                                 MemoryOfRead(aInfo->n_added));
  accepted->m_server->ShedSoon();
}

void
HttpServer::ShedSoon()
{
  if (!m_state->m_book.HasExcess() || std::exchange(m_shedding, true)) {
    return;
  }
  // Not from within a callback of the connection that may be closed.
  m_loop.After(Duration::zero(), [weak = std::weak_ptr(m_state), this] {
    if (!weak.expired()) {
      Shed();
    }
  });
}

void
HttpServer::Shed()
{
  m_shedding = false;
  // One that came in this turn has no object of evhttp's yet, and is left the
  // time to send its request.
  const auto hasJustCome = [](const auto& aItem) {
    return aItem.second->m_connection == nullptr;
  };
  const auto justCome =
    static_cast<std::size_t>(std::ranges::count_if(m_accepted, hasJustCome));
  for (const ConnectionBook::Id id : m_state->m_book.Excess(justCome)) {
    const auto it = m_accepted.find(id);
    if (it != m_accepted.end() && !hasJustCome(*it)) {
      Close(id);
    }
  }
}

void
HttpServer::ShedBytes()
{
  for (const ConnectionBook::Id id : m_state->m_book.ExcessOfBytes()) {
    Identify(id);
    Close(id);
  }
}

void
HttpServer::Close(ConnectionBook::Id aId)
{
  const auto it = m_accepted.find(aId);
  if (it != m_accepted.end()) {
    m_state->m_onOverload(OverloadAction::ConnectionClosed);
    evhttp_connection_free(it->second->m_connection);
    Forget(aId);
  }
}

Result<void>
HttpServer::Listen(const Address& aAddress)
{
  m_socket = evhttp_bind_socket_with_handle(
    m_server, aAddress.m_ip.c_str(), aAddress.m_port);
  if (m_socket == nullptr) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "cannot listen on " + aAddress.ToString());
  }
  return {};
}

void
HttpServer::StopListening()
{
  if (m_socket != nullptr) {
    evhttp_del_accept_socket(m_server, m_socket);
    m_socket = nullptr;
  }
}

void
HttpServer::BeginClose(Time aNow)
{
  if (!m_state->m_closing) {
    m_state->m_closing = true;
    m_closeBegan = aNow;
  }
}

bool
HttpServer::TickClose(Time aNow)
{
  if (aNow - m_closeBegan >= kCloseBound) {
    return true;
  }
  // A connection that waits would be reset, with the request that its client
  // may have sent.
  if (m_socket != nullptr && HasPendingConnection()) {
    return false;
  }
  StopListening();
  return m_state->m_open == 0 && m_connections.empty() &&
         aNow - std::max(m_closeBegan, m_lastRequest) >= kQuietTime;
}

bool
HttpServer::HasPendingConnection() const
{
  pollfd listening{ evhttp_bound_socket_get_fd(m_socket), POLLIN, 0 };
  return poll(&listening, 1, 0) > 0;
}

void
HttpServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  SetNoDelay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
  self->m_lastRequest = Loop::Now();
  self->m_connections.insert(connection);
  evhttp_connection_set_closecb(connection, OnClosed, self);
  const bool closing = self->m_state->m_closing;
  const HttpRequest request = ToRequest(aRequest);
  const ConnectionBook::Id id = self->Count(connection, request);
  if (self->m_state->m_book.IsFull()) {
    // Connections in excess are closed a turn of the loop later only.
    self->ShedBytes();
  }
  if (self->m_state->m_book.IsFull()) {
    self->m_state->m_onOverload(OverloadAction::RequestRefused);
    self->m_state->m_book.OnResponse(id);
    Send(aRequest, MemoryRefusal(), true);
    return;
  }
  const std::optional<Error> error =
    InputError(aRequest, request, self->m_limits);
  if (error) {
    self->m_state->m_book.OnResponse(id);
    Send(aRequest, ErrorResponse(*error), closing);
    return;
  }
  const auto state = self->m_state;
  ++state->m_open;
  self->m_handler(request,
                  [aRequest, state, id](const HttpResponse& aResponse) {
                    --state->m_open;
                    const bool ends = state->m_book.EndsWithResponse(id);
                    if (ends) {
                      state->m_onOverload(OverloadAction::ConnectionClosed);
                    }
                    state->m_book.OnResponse(id);
                    // A request whose client has gone is freed by evhttp in
                    // this call.
                    Send(aRequest, aResponse, ends || state->m_closing);
                  });
}

ConnectionBook::Id
HttpServer::Count(evhttp_connection* aConnection, const HttpRequest& aRequest)
{
  bufferevent* events = evhttp_connection_get_bufferevent(aConnection);
  const auto known = m_ids.find(events);
  if (known == m_ids.end()) {
    return 0;
  }
  const ConnectionBook::Id id = known->second;
  // A request that came with its connection is here first. Were it not counted,
  // the connection could be closed while the request is being handled.
  Identify(id);
  m_state->m_book.OnRequest(id,
                            evbuffer_get_length(bufferevent_get_input(events)),
                            aRequest.m_body.size());
  return id;
}

void
HttpServer::OnClosed(evhttp_connection* aConnection, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  self->m_connections.erase(aConnection);
  const auto known =
    self->m_ids.find(evhttp_connection_get_bufferevent(aConnection));
  if (known != self->m_ids.end()) {
    self->Forget(ConnectionBook::Id(known->second));
  }
}

HttpResponse
JsonResponse(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers["Content-Type"] = "application/json";
  response.m_body = std::move(aBody);
  return response;
}

HttpResponse
ErrorResponse(const Error& aError)
{
  const nlohmann::json body = { { "verdict", NameOf(aError.m_verdict) },
                                { "error", NameOf(aError.m_code) },
                                { "message", aError.m_message } };
  // The message may quote bytes of the request that are not valid UTF-8; the
  // library's default for these is an exception, which would end the process.
  return JsonResponse(
    HttpStatusOf(aError.m_code),
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace lacewing::net
