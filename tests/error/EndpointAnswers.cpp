/// Guards against misread answers of an endpoint: refusals, short bodies,
/// malformed status, connections that cannot be made.
#include "endpoint/EndpointClient.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>

namespace lacewing::endpoint {

namespace {

net::HttpOutcome
Response(int aStatus, net::Headers aHeaders, std::string aBody)
{
  net::HttpOutcome outcome;
  outcome.m_response =
    net::HttpResponse{ aStatus, std::move(aHeaders), std::move(aBody) };
  return outcome;
}

} // namespace

TEST(EndpointClient, OnlyTheExplicitRefusalIsNotRun)
{
  const auto refused =
    ToDispatchOutcome(Response(503, { { "X-Not-Run", "1" } }, "{}"));
  EXPECT_TRUE(refused.m_answer->m_notRun);
  EXPECT_FALSE(ToDispatchOutcome(Response(503, {}, "{}")).m_answer->m_notRun);
  EXPECT_FALSE(ToDispatchOutcome(Response(500, { { "X-Not-Run", "1" } }, "{}"))
                 .m_answer->m_notRun);
}

TEST(EndpointClient, ShortBodyIsNotWhole)
{
  const auto cut =
    ToDispatchOutcome(Response(200, { { "Content-Length", "10" } }, "short"));
  EXPECT_FALSE(cut.m_answer->IsWhole());
  const auto whole =
    ToDispatchOutcome(Response(200, { { "Content-Length", "5" } }, "whole"));
  EXPECT_TRUE(whole.m_answer->IsWhole());
}

TEST(EndpointClient, MalformedStatusIsNoStatus)
{
  EXPECT_FALSE(DecodeStatus("{\"slots\": 8}"));
  EXPECT_FALSE(DecodeStatus("not json"));
  const auto status =
    DecodeStatus("{\"slots\": 8, \"busy\": 3, \"leaving\": true}");
  ASSERT_TRUE(status);
  EXPECT_EQ(status->m_busy, 3);
  EXPECT_TRUE(status->m_leaving);
}

TEST(EndpointClient, SendsTheAttemptAndReadsTheAnswer)
{
  constexpr std::uint16_t kPort = 38'417;
  const net::Address address{ "127.0.0.1", kPort };
  net::Loop loop;
  std::string requestId;
  net::HttpServer server(
    loop, {}, [&](const net::HttpRequest& aRequest, const auto& aReply) {
      requestId = aRequest.Header("X-Request-Id");
      aReply(net::JsonResponse(200, "{\"echo\": \"" + aRequest.m_body + "\"}"));
    });
  ASSERT_TRUE(server.Listen(address));
  net::HttpClient http(loop);
  EndpointClient client(http);
  DispatchRequest request;
  request.m_requestId = RequestIdHeader(SliceId("slice"), 2, 3);
  request.m_path = "/v1/quote";
  request.m_body = "body";
  request.m_remaining = seconds(1);
  DispatchOutcome outcome;
  client.Dispatch(
    address, request, seconds(5), [&](const DispatchOutcome& aOutcome) {
      outcome = aOutcome;
      loop.Stop();
    });
  loop.Run();
  EXPECT_EQ(requestId, "slice-2-3");
  ASSERT_TRUE(outcome.m_answer);
  EXPECT_TRUE(outcome.m_answer->IsWhole());
  EXPECT_EQ(outcome.m_answer->m_body, "{\"echo\": \"body\"}");
}

} // namespace lacewing::endpoint
