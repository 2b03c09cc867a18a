#include "Servers.h"

#include "net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace lacewing::standin {

namespace {

constexpr std::size_t kMaxCountedBytes = 64;

/// A service's runner: answers each request after the service time and counts
/// the executions of each request body.
class EndpointServer
{
public:
  EndpointServer(net::Loop& aLoop, const EndpointOptions& aOptions)
    : m_loop(aLoop)
    , m_options(aOptions)
  {
  }

  void Handle(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    if (aRequest.m_path == "/status") {
      aReply(Status());
      return;
    }
    if (aRequest.m_path == "/executions") {
      const nlohmann::json body = { { "executions", m_executions },
                                    { "max_busy", m_maxBusy },
                                    { "refused", m_refused } };
      aReply(net::JsonResponse(200, body.dump()));
      return;
    }
    if (aRequest.m_path == "/control") {
      m_leaving = aRequest.Query("leaving") == "1";
      aReply(net::JsonResponse(200, "{}"));
      return;
    }
    Execute(aRequest, aReply);
  }

private:
  net::HttpResponse Status() const
  {
    const nlohmann::json body = { { "slots", m_options.m_slots },
                                  { "busy", m_busy },
                                  { "leaving", m_leaving } };
    return net::JsonResponse(200, body.dump());
  }

  void Execute(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    if (m_busy >= m_options.m_slots || m_leaving) {
      ++m_refused;
      auto response = net::JsonResponse(503, "{}");
      response.m_headers["X-Not-Run"] = "1";
      aReply(response);
      return;
    }
    ++m_busy;
    m_maxBusy = std::max(m_maxBusy, m_busy);
    // Counted by the body, which stays the same over all attempts.
    ++m_executions[aRequest.m_body.substr(0, kMaxCountedBytes)];
    const nlohmann::json body = { { "endpoint", m_options.m_name },
                                  { "path", aRequest.m_path },
                                  { "echo", aRequest.m_body } };
    m_loop.After(m_options.m_serviceTime, [this, aReply, text = body.dump()] {
      --m_busy;
      aReply(net::JsonResponse(200, text));
    });
  }

  net::Loop& m_loop;
  EndpointOptions m_options;
  int m_busy = 0;
  int m_maxBusy = 0;
  int m_refused = 0;
  bool m_leaving = false;
  std::map<std::string, int> m_executions;
};

} // namespace

int
RunEndpoint(net::Loop& aLoop,
            const net::Address& aListen,
            const EndpointOptions& aOptions)
{
  EndpointServer endpoint(aLoop, aOptions);
  net::HttpServer server(
    aLoop,
    {},
    [&](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
      endpoint.Handle(aRequest, aReply);
    });
  if (!server.Listen(aListen)) {
    std::cerr << "cannot listen on " << aListen.ToString() << "\n";
    return 1;
  }
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin
