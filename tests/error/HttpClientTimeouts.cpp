/// Guards against a process that ends because a caller's time has run out just
/// before a call: libevent aborts for a negative timeout. And against memory
/// that is lost, or used after it is gone, with a client that has open
/// requests.
#include "fakes/FreeAddress.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>

namespace lacewing::net {

namespace {

TEST(HttpClientTimeouts, NegativeTimeoutEndsTheCallAndNotTheProcess)
{
  Loop loop;
  HttpServer silent(loop, {}, [](const HttpRequest&, const HttpReply&) {});
  const Address address = fakes::FreeAddress();
  leaf::try_handle_all([&] { return silent.Listen(address); },
                       [] { FAIL() << "cannot listen"; });
  HttpClient client(loop);
  int calls = 0;
  HttpRequest request;
  request.m_method = "GET";
  request.m_path = "/";
  client.Send(
    address, request, milliseconds(-1500), [&](const HttpOutcome& aOutcome) {
      ++calls;
      EXPECT_FALSE(aOutcome.m_response.has_value());
      loop.Stop();
    });
  loop.Run();
  EXPECT_EQ(calls, 1);
}

/// A planned stop ends the process while requests are open; the leak checker
/// failed it.
TEST(HttpClientTimeouts, ClientWithAnOpenRequestCanBeDestroyed)
{
  Loop loop;
  HttpServer silent(loop, {}, [](const HttpRequest&, const HttpReply&) {});
  const Address address = fakes::FreeAddress();
  leaf::try_handle_all([&] { return silent.Listen(address); },
                       [] { FAIL() << "cannot listen"; });
  int calls = 0;
  {
    HttpClient client(loop);
    HttpRequest request;
    request.m_method = "GET";
    request.m_path = "/";
    client.Send(
      address, request, seconds(5), [&](const HttpOutcome&) { ++calls; });
    for (int round = 0; round < 5; ++round) {
      loop.Poll();
    }
  }
  loop.Poll();
  EXPECT_EQ(calls, 0);
}

} // namespace

} // namespace lacewing::net
