#include "Servers.h"

#include "net/HttpServer.h"
#include "vmlist/VmList.h"

#include <xxhash.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace lacewing::standin {

namespace {

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

int
RunVmList(net::Loop& aLoop,
          const net::Address& aListen,
          const std::string& aFile,
          Duration aLag)
{
  // What callers see follows the true list after the lag.
  std::string visible = ReadFile(aFile);
  if (!vmlist::DecodeVms(visible)) {
    std::cerr << aFile << " is not a VM list\n";
    return 1;
  }
  net::HttpServer server(
    aLoop,
    {},
    [&](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
      if (aRequest.m_method == "POST") {
        aLoop.After(aLag, [&visible, body = aRequest.m_body] {
          if (vmlist::DecodeVms(body)) {
            visible = body;
          }
        });
        aReply(net::JsonResponse(200, "{}"));
        return;
      }
      const std::string tag =
        std::to_string(XXH64(visible.data(), visible.size(), 0));
      if (aRequest.Header("If-None-Match") == tag) {
        aReply(net::JsonResponse(304, ""));
        return;
      }
      auto response = net::JsonResponse(200, visible);
      response.m_headers["ETag"] = tag;
      aReply(response);
    });
  if (!server.Listen(aListen)) {
    std::cerr << "cannot listen on " << aListen.ToString() << "\n";
    return 1;
  }
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin
