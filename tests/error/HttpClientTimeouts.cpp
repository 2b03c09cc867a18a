/// Guards against a process that ends because a caller's time has run out just
/// before a call: libevent aborts for a negative timeout.
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

} // namespace

} // namespace lacewing::net
