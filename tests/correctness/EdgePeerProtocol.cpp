/// Guards against fields of the messages between entry daemons that are lost on
/// the way. A status without the incarnation was taken for that of another
/// process, so that each leader was replaced at once.
#include "core/TryDecode.h"
#include "edge/PeerProtocol.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

TEST(EdgePeerProtocol, StatusComesBackWhole)
{
  LeaderStatus status;
  status.m_leads = true;
  status.m_term = 7;
  status.m_incarnation = 123'456'789'012;
  status.m_storeWorks = false;
  status.m_waitingJobs.emplace()[pool::QueueId("q")] = 3;
  status.m_leader = { "vm-2", "127.0.0.1:9", 5, 8, {} };
  const auto decoded =
    TryDecode<LeaderStatus>([&] { return DecodeStatus(EncodeStatus(status)); });
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->m_leads, status.m_leads);
  EXPECT_EQ(decoded->m_term, status.m_term);
  EXPECT_EQ(decoded->m_incarnation, status.m_incarnation);
  EXPECT_EQ(decoded->m_storeWorks, status.m_storeWorks);
  EXPECT_EQ(decoded->m_waitingJobs, status.m_waitingJobs);
  EXPECT_EQ(decoded->m_leader, status.m_leader);
}

/// A leader that had not loaded the jobs yet said that none waits, and callers
/// were shown 0 while dozens waited.
TEST(EdgePeerProtocol, LeaderThatIsStillLoadingCountsNoJobs)
{
  const auto decoded = TryDecode<LeaderStatus>(
    [&] { return DecodeStatus(EncodeStatus(LeaderStatus{})); });
  ASSERT_TRUE(decoded.has_value());
  EXPECT_FALSE(decoded->m_waitingJobs.has_value());
}

TEST(EdgePeerProtocol, QuestionAndPermissionsComeBackWhole)
{
  const pool::AdviceRequest question{
    JobId("j"), 2, { pool::WorkerId("a"), pool::WorkerId("b") }
  };
  const auto asked = TryDecode<pool::AdviceRequest>(
    [&] { return DecodeAdviceRequest(EncodeAdviceRequest(question)); });
  ASSERT_TRUE(asked.has_value());
  EXPECT_EQ(asked->m_job, question.m_job);
  EXPECT_EQ(asked->m_step, question.m_step);
  EXPECT_EQ(asked->m_workers, question.m_workers);
  const auto good = TryDecode<std::vector<pool::Permission>>([&] {
    return DecodePermissions(
      EncodePermissions({ { pool::WorkerId("a"), "ticket" } }));
  });
  ASSERT_TRUE(good.has_value());
  ASSERT_EQ(good->size(), 1U);
  EXPECT_EQ(good->front().m_ticket, "ticket");
}

TEST(EdgePeerProtocol, BrokenMessagesAreErrors)
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

} // namespace

} // namespace lacewing::edge
