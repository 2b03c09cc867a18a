/// Guards against fields that are lost when messages between entry daemons are
/// encoded and decoded. A status without the incarnation was attributed to
/// another process, so that each leader was replaced at once.
#include "core/TryDecode.h"
#include "edge/PeerProtocol.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

TEST(EdgePeerProtocol, StatusRoundTrips)
{
  LeaderStatus status;
  status.m_leads = true;
  status.m_term = 7;
  status.m_incarnation = 123'456'789'012;
  status.m_storeWorks = false;
  status.m_loopLag = milliseconds(120);
  status.m_admittedShare = 0.25;
  status.m_waitingJobs.emplace()[pool::QueueId("q")] = 3;
  status.m_leader = { "vm-2", "127.0.0.1:9", 5, 8, {} };
  const auto decoded =
    TryDecode<LeaderStatus>([&] { return DecodeStatus(EncodeStatus(status)); });
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->m_leads, status.m_leads);
  EXPECT_EQ(decoded->m_term, status.m_term);
  EXPECT_EQ(decoded->m_incarnation, status.m_incarnation);
  EXPECT_EQ(decoded->m_storeWorks, status.m_storeWorks);
  EXPECT_EQ(decoded->m_loopLag, status.m_loopLag);
  EXPECT_DOUBLE_EQ(decoded->m_admittedShare, status.m_admittedShare);
  EXPECT_EQ(decoded->m_waitingJobs, status.m_waitingJobs);
  EXPECT_EQ(decoded->m_leader, status.m_leader);
}

/// The request as the peer's HTTP server reads it.
net::HttpRequest
StatusRequest(const std::string& aQuery)
{
  net::HttpRequest request;
  std::string text = "vm=edge-2" + aQuery + "&";
  for (std::size_t end = text.find('&'); end != std::string::npos;
       end = text.find('&')) {
    const std::size_t equals = text.find('=');
    request.m_query[text.substr(0, equals)] =
      text.substr(equals + 1, end - equals - 1);
    text.erase(0, end + 1);
  }
  return request;
}

/// A leader that does not learn of relays makes all calls to workers itself.
TEST(EdgePeerProtocol, OfferOfARelayArrivesAsSent)
{
  EdgeSettings settings;
  settings.m_domain = DomainId("domain-b");
  settings.m_cores = 0.5;
  EXPECT_EQ(RelayOffer(settings), "");
  EXPECT_FALSE(OfferedRelay(StatusRequest("")).has_value());
  settings.m_relay = net::Address{ "10.1.0.17", 7420 };
  const auto offered = OfferedRelay(StatusRequest(RelayOffer(settings)));
  ASSERT_TRUE(offered.has_value());
  EXPECT_EQ(offered->m_vm.Value(), "edge-2");
  EXPECT_EQ(offered->m_domain.Value(), "domain-b");
  EXPECT_EQ(offered->m_address.ToString(), "10.1.0.17:7420");
  EXPECT_DOUBLE_EQ(offered->m_cores, 0.5);
}

TEST(EdgePeerProtocol, OfferWithABadAddressOrProcessorIsIgnored)
{
  for (const char* query : { "&relay=somewhere&cores=0.5&domain=a",
                             "&relay=10.1.0.17:7420&cores=0&domain=a",
                             "&relay=10.1.0.17:7420&cores=nan&domain=a",
                             "&relay=10.1.0.17:7420&cores=1e30&domain=a",
                             "&relay=10.1.0.17:7420&domain=a" }) {
    EXPECT_FALSE(OfferedRelay(StatusRequest(query)).has_value()) << query;
  }
}

/// Guards against a leader that reports zero waiting jobs before it has loaded
/// the jobs: callers saw 0 while dozens of jobs waited.
TEST(EdgePeerProtocol, LoadingLeaderReportsNoJobCounts)
{
  const auto decoded = TryDecode<LeaderStatus>(
    [&] { return DecodeStatus(EncodeStatus(LeaderStatus{})); });
  ASSERT_TRUE(decoded.has_value());
  EXPECT_FALSE(decoded->m_waitingJobs.has_value());
}

TEST(EdgePeerProtocol, AdviceRequestAndPermissionsRoundTrip)
{
  const pool::AdviceRequest request{
    JobId("j"), 2, { pool::WorkerId("a"), pool::WorkerId("b") }
  };
  const auto decodedRequest = TryDecode<pool::AdviceRequest>(
    [&] { return DecodeAdviceRequest(EncodeAdviceRequest(request)); });
  ASSERT_TRUE(decodedRequest.has_value());
  EXPECT_EQ(decodedRequest->m_job, request.m_job);
  EXPECT_EQ(decodedRequest->m_step, request.m_step);
  EXPECT_EQ(decodedRequest->m_workers, request.m_workers);
  const auto permissions = TryDecode<std::vector<pool::Permission>>([&] {
    return DecodePermissions(
      EncodePermissions({ { pool::WorkerId("a"), "ticket" } }));
  });
  ASSERT_TRUE(permissions.has_value());
  ASSERT_EQ(permissions->size(), 1U);
  EXPECT_EQ(permissions->front().m_ticket, "ticket");
}

TEST(EdgePeerProtocol, MalformedMessagesAreErrors)
{
  for (const char* body : { "", "{}", "[1]", R"({"leads":1,"term":-1})" }) {
    EXPECT_FALSE(
      TryDecode<LeaderStatus>([&] { return DecodeStatus(body); }).has_value());
    EXPECT_FALSE(
      TryDecode<JobView>([&] { return DecodeJobView(body); }).has_value());
    EXPECT_FALSE(TryDecode<pool::AdviceRequest>([&] {
                   return DecodeAdviceRequest(body);
                 }).has_value());
  }
}

/// A connection that a cut refuses was taken for the end of the previous
/// leader. Its successor then waited too short a time for the workers that both
/// lead.
TEST(EdgePeerProtocol, RefusedConnectionDoesNotShowThatTheLeaderStopped)
{
  net::HttpOutcome outcome;
  outcome.m_error.m_verdict = Verdict::NotRun;
  EXPECT_FALSE(ShowsNoLeader(outcome));
  LeaderStatus status;
  status.m_leads = true;
  outcome.m_response = net::JsonResponse(200, EncodeStatus(status));
  EXPECT_FALSE(ShowsNoLeader(outcome));
  status.m_leads = false;
  outcome.m_response = net::JsonResponse(200, EncodeStatus(status));
  EXPECT_TRUE(ShowsNoLeader(outcome));
  outcome.m_response = net::JsonResponse(200, "no status");
  EXPECT_FALSE(ShowsNoLeader(outcome));
}

} // namespace

} // namespace lacewing::edge
