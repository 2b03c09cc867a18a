#include "Servers.h"

#include "net/HttpServer.h"
#include "net/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <iostream>
#include <list>
#include <memory>

namespace lacewing::standin {

namespace {

sockaddr_in
ToSocketAddress(const net::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  return address;
}

/// A TCP relay. Bytes of a direction that is cut are dropped for good, so that
/// a connection that lost some carries nothing in this direction afterwards.
class LinkServer
{
public:
  LinkServer(net::Loop& aLoop, const net::Address& aTo)
    : m_loop(aLoop)
    , m_to(ToSocketAddress(aTo))
  {
  }
  ~LinkServer()
  {
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
    }
  }
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  bool Listen(const net::Address& aListen)
  {
    const sockaddr_in address = ToSocketAddress(aListen);
    m_listener =
      evconnlistener_new_bind(m_loop.Base(),
                              &LinkServer::OnAccept,
                              this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              -1,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address));
    return m_listener != nullptr;
  }

  /// Query of POST /control: cut=none, forward, backward or both; close=1 also
  /// closes all connections. Answers with the bytes dropped and passed on so
  /// far, in both directions.
  void Control(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    const std::string cut = aRequest.Query("cut");
    m_cutForward = cut == "forward" || cut == "both";
    m_cutBackward = cut == "backward" || cut == "both";
    if (aRequest.Query("close") == "1") {
      m_pairs.clear();
    }
    aReply(net::JsonResponse(200,
                             R"({"dropped":)" + std::to_string(m_dropped) +
                               R"(,"relayed":)" + std::to_string(m_relayed) +
                               "}"));
  }

private:
  struct BufferFree
  {
    void operator()(bufferevent* aBuffer) const { bufferevent_free(aBuffer); }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferFree>;

  /// One relayed connection.
  struct Pair
  {
    LinkServer* m_link = nullptr;
    Buffer m_near;
    Buffer m_far;
    bool m_lostForward = false;
    bool m_lostBackward = false;
    std::list<std::unique_ptr<Pair>>::iterator m_place;
  };

  static void OnAccept(evconnlistener*,
                       int aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    static_cast<LinkServer*>(aSelf)->Accept(aSocket);
  }

  void Accept(int aSocket)
  {
    m_pairs.push_back(std::make_unique<Pair>());
    Pair& pair = *m_pairs.back();
    pair.m_link = this;
    pair.m_place = std::prev(m_pairs.end());
    pair.m_near.reset(
      bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
    pair.m_far.reset(
      bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE));
    net::SetNoDelay(aSocket);
    for (bufferevent* side : { pair.m_near.get(), pair.m_far.get() }) {
      bufferevent_setcb(
        side, &LinkServer::OnReadable, nullptr, &LinkServer::OnEvent, &pair);
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(
      pair.m_far.get(), reinterpret_cast<const sockaddr*>(&m_to), sizeof(m_to));
  }

  static void OnReadable(bufferevent* aSide, void* aPair)
  {
    auto& pair = *static_cast<Pair*>(aPair);
    const bool forward = aSide == pair.m_near.get();
    bool& lost = forward ? pair.m_lostForward : pair.m_lostBackward;
    lost |= forward ? pair.m_link->m_cutForward : pair.m_link->m_cutBackward;
    evbuffer* input = bufferevent_get_input(aSide);
    if (lost) {
      const std::size_t size = evbuffer_get_length(input);
      pair.m_link->m_dropped += size;
      evbuffer_drain(input, size);
      return;
    }
    pair.m_link->m_relayed += evbuffer_get_length(input);
    bufferevent_write_buffer(forward ? pair.m_far.get() : pair.m_near.get(),
                             input);
  }

  static void OnEvent(bufferevent* aSide, short aWhat, void* aPair)
  {
    auto& pair = *static_cast<Pair*>(aPair);
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      net::SetNoDelay(bufferevent_getfd(aSide));
      return;
    }
    pair.m_link->m_pairs.erase(pair.m_place);
  }

  net::Loop& m_loop;
  sockaddr_in m_to;
  evconnlistener* m_listener = nullptr;
  std::list<std::unique_ptr<Pair>> m_pairs;
  std::uint64_t m_dropped = 0; ///< bytes, in both directions
  std::uint64_t m_relayed = 0; ///< bytes, in both directions
  bool m_cutForward = false;   ///< from the side that connects
  bool m_cutBackward = false;  ///< to the side that connects
};

} // namespace

int
RunLink(net::Loop& aLoop,
        const net::Address& aListen,
        const net::Address& aTo,
        const net::Address& aControl)
{
  LinkServer link(aLoop, aTo);
  net::HttpServer control(
    aLoop,
    {},
    [&](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
      link.Control(aRequest, aReply);
    });
  if (!link.Listen(aListen) || !control.Listen(aControl)) {
    std::cerr << "cannot listen on " << aListen.ToString() << " or "
              << aControl.ToString() << "\n";
    return 1;
  }
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin
