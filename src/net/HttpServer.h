/// HTTP server over evhttp with bounded sizes and asynchronous replies.
#pragma once

#include "core/EnumNames.h"
#include "core/Time.h"
#include "net/Address.h"
#include "net/ConnectionBook.h"
#include "net/HttpMessage.h"
#include "net/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace lacewing::net {

struct HttpServerLimits
{
  std::size_t m_maxHeaderBytes = 16 * 1024;
  std::size_t m_maxBodyBytes = 1024 * 1024;
  std::size_t m_maxHeaderCount = 64;
  /// A client that neither sends nor reads for this long is disconnected.
  seconds m_idleTimeout{ 60 };
  ConnectionLimits m_connections;
};

/// What a server does about clients that exceed its limits.
enum class OverloadAction : std::uint8_t
{
  ConnectionClosed,
  RequestRefused, ///< with 503; nothing of it has run
};

/// Sends the response; must be called exactly once, at any later time.
using HttpReply = std::function<void(const HttpResponse&)>;
using HttpHandler = std::function<void(const HttpRequest&, const HttpReply&)>;

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpServerLimits aLimits, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on the address. Errors: `Unavailable` naming the address.
  Result<void> Listen(const Address& aAddress);
  /// Stops taking connections; open ones go on.
  void StopListening();
  /// From now on each response ends its connection.
  void BeginClose(Time aNow);
  /// Call it again and again after `BeginClose`. True when no request can be
  /// under way any more, or when those that keep idle connections have had the
  /// time to close them.
  bool TickClose(Time aNow);
  /// Called for each connection closed and each request refused because the
  /// limits are exceeded.
  using OnOverload = std::function<void(OverloadAction)>;
  void SetOnOverload(OnOverload aOnOverload);
  /// Requests that were handed to the handler and not yet replied to.
  std::size_t OpenRequests() const { return m_state->m_open; }

private:
  /// An accepted connection. evhttp tells its own object for it only later.
  struct Accepted
  {
    HttpServer* m_server = nullptr;
    ConnectionBook::Id m_id = 0;
    bufferevent* m_events = nullptr;
    evhttp_connection* m_connection = nullptr;
  };

  /// What replies need, which may come after the server has gone.
  struct State
  {
    explicit State(ConnectionLimits aLimits)
      : m_book(aLimits)
    {
    }

    std::size_t m_open = 0;
    bool m_closing = false;
    ConnectionBook m_book;
    OnOverload m_onOverload = [](OverloadAction) {};
  };

  static bufferevent* OnAccept(event_base* aBase, void* aSelf);
  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aAccepted);
  /// Learns evhttp's object for the connection, and of its end.
  void Identify(ConnectionBook::Id aId);
  void Forget(ConnectionBook::Id aId);
  /// Counts the request; its connection's id.
  ConnectionBook::Id Count(evhttp_connection* aConnection,
                           const HttpRequest& aRequest);
  /// Closes connections that are in excess.
  void Shed();
  /// Closes those that hold too much, before a request is refused for them.
  void ShedBytes();
  void Close(ConnectionBook::Id aId);
  void ShedSoon();
  static void OnRequest(evhttp_request* aRequest, void* aSelf);
  static void OnClosed(evhttp_connection* aConnection, void* aSelf);
  /// True if a connection waits to be taken.
  bool HasPendingConnection() const;

  Loop& m_loop;
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  evhttp* m_server;
  evhttp_bound_socket* m_socket = nullptr;
  std::shared_ptr<State> m_state;
  /// Connections that have sent a request.
  std::set<evhttp_connection*> m_connections;
  std::map<ConnectionBook::Id, std::unique_ptr<Accepted>> m_accepted;
  std::map<bufferevent*, ConnectionBook::Id> m_ids;
  bool m_shedding = false; ///< `Shed` will run
  Time m_closeBegan{};
  Time m_lastRequest{};
};

/// A JSON response with the given status.
HttpResponse
JsonResponse(int aStatus, std::string aBody);

/// The response for an error, with a body
/// {"verdict": ..., "error": ..., "message": ...}.
HttpResponse
ErrorResponse(const Error& aError);

} // namespace lacewing::net

template<>
struct lacewing::EnumNames<lacewing::net::OverloadAction>
{
  using Action = lacewing::net::OverloadAction;
  static constexpr std::array kTable = {
    std::pair{ Action::ConnectionClosed, std::string_view("closed") },
    std::pair{ Action::RequestRefused, std::string_view("refused") },
  };
};
