/// Guards against frames between the leader and its relays that are read as
/// something else than was sent, or that end a process.
#include "harness/DecoderFuzz.h"
#include "relay/RelayFrames.h"

#include <gtest/gtest.h>

#include <random>

namespace lacewing::relay {

namespace {

const net::Address kAddress{ "10.1.0.17", 8423 };
const pool::TaskRef kTask{ JobId("5c0e7a21d94b36f8"), 1, 17 };

OrderFrame
SampleOrders()
{
  OrderFrame frame;
  frame.m_term = 7;
  frame.m_leader = VmId("edge-1");
  frame.m_beat = Time(microseconds(123456789));
  platform::LeaseExtension extension;
  extension.m_worker = pool::WorkerId("w1");
  extension.m_address = kAddress;
  extension.m_term = 7;
  extension.m_savedEnds = 57;
  extension.m_deadlineMs = 486000;
  extension.m_wait = milliseconds(1000);
  frame.m_orders.push_back({ 1, kAddress, milliseconds(1700), extension });
  frame.m_orders.push_back(
    { 2,
      kAddress,
      milliseconds(600),
      StartCommand{
        { pool::WorkerId("w2"), kTask, 3001, "payload", "saved", "ticket" },
        486000 } });
  frame.m_orders.push_back(
    { 3,
      kAddress,
      milliseconds(600),
      pool::StopTask{ pool::WorkerId("w3"), kTask, 3001 } });
  return frame;
}

AnswerFrame
SampleAnswers()
{
  AnswerFrame frame;
  frame.m_beat = Time(microseconds(987654321));
  frame.m_loopLag = milliseconds(30);
  frame.m_stopping = true;
  pool::Inventory inventory;
  inventory.m_incarnation = 1'780'000'000'000;
  inventory.m_clockMs = 482113;
  inventory.m_endsTruncated = true;
  inventory.m_running = { { kTask, 3001, "saved", 41 } };
  inventory.m_ended = { { 58, kTask, 3000, pool::RunEnd::Broken, "c" } };
  frame.m_answers.push_back({ 1,
                              platform::CommandState::Done,
                              pool::StartOutcome::Unknown,
                              inventory });
  frame.m_answers.push_back({ 2,
                              platform::CommandState::Refused,
                              pool::StartOutcome::TicketInvalid,
                              {} });
  return frame;
}

TEST(RelayFrameDecoders, OrdersArriveAsSent)
{
  const OrderFrame sent = SampleOrders();
  const OrderFrame read = DecodedOrFail(DecodeOrders, EncodeOrders(sent));
  EXPECT_EQ(read.m_term, 7U);
  EXPECT_EQ(read.m_leader, sent.m_leader);
  EXPECT_EQ(read.m_beat, sent.m_beat);
  ASSERT_EQ(read.m_orders.size(), 3U);
  const auto& extension =
    std::get<platform::LeaseExtension>(read.m_orders[0].m_command);
  EXPECT_EQ(read.m_orders[0].m_timeout, milliseconds(1700));
  EXPECT_EQ(extension.m_worker.Value(), "w1");
  EXPECT_EQ(extension.m_address, kAddress);
  EXPECT_EQ(extension.m_term, 7U);
  EXPECT_EQ(extension.m_savedEnds, 57U);
  EXPECT_EQ(extension.m_deadlineMs, 486000);
  EXPECT_EQ(extension.m_wait, milliseconds(1000));
  const auto& start = std::get<StartCommand>(read.m_orders[1].m_command);
  EXPECT_EQ(read.m_orders[1].m_call, 2U);
  EXPECT_EQ(read.m_orders[1].m_address, kAddress);
  EXPECT_EQ(start.m_deadlineMs, 486000);
  EXPECT_EQ(start.m_start.m_worker.Value(), "w2");
  EXPECT_EQ(start.m_start.m_task, kTask);
  EXPECT_EQ(start.m_start.m_run, 3001U);
  EXPECT_EQ(start.m_start.m_payload, "payload");
  EXPECT_EQ(start.m_start.m_checkpoint, "saved");
  EXPECT_EQ(start.m_start.m_ticket, "ticket");
  const auto& stop = std::get<pool::StopTask>(read.m_orders[2].m_command);
  EXPECT_EQ(stop.m_worker.Value(), "w3");
  EXPECT_EQ(stop.m_task, kTask);
  EXPECT_EQ(stop.m_run, 3001U);
}

TEST(RelayFrameDecoders, AnswersArriveAsSent)
{
  const AnswerFrame sent = SampleAnswers();
  const AnswerFrame read = DecodedOrFail(DecodeAnswers, EncodeAnswers(sent));
  EXPECT_EQ(read.m_beat, sent.m_beat);
  EXPECT_EQ(read.m_loopLag, sent.m_loopLag);
  EXPECT_TRUE(read.m_stopping);
  ASSERT_EQ(read.m_answers.size(), 2U);
  ASSERT_TRUE(read.m_answers[0].m_inventory.has_value());
  const pool::Inventory& inventory = *read.m_answers[0].m_inventory;
  EXPECT_EQ(inventory.m_incarnation, 1'780'000'000'000);
  EXPECT_EQ(inventory.m_clockMs, 482113);
  EXPECT_TRUE(inventory.m_endsTruncated);
  ASSERT_EQ(inventory.m_running.size(), 1U);
  EXPECT_EQ(inventory.m_running[0].m_task, kTask);
  EXPECT_EQ(inventory.m_running[0].m_run, 3001U);
  EXPECT_EQ(inventory.m_running[0].m_checkpoint, "saved");
  EXPECT_EQ(inventory.m_running[0].m_percent, 41);
  ASSERT_EQ(inventory.m_ended.size(), 1U);
  EXPECT_EQ(inventory.m_ended[0].m_number, 58U);
  EXPECT_EQ(inventory.m_ended[0].m_how, pool::RunEnd::Broken);
  EXPECT_EQ(inventory.m_ended[0].m_checkpoint, "c");
  EXPECT_EQ(read.m_answers[1].m_state, platform::CommandState::Refused);
  EXPECT_EQ(read.m_answers[1].m_outcome, pool::StartOutcome::TicketInvalid);
  EXPECT_FALSE(read.m_answers[1].m_inventory.has_value());
}

/// A cut frame must not pass for a shorter one: a list without its last ends
/// would show runs as lost.
TEST(RelayFrameDecoders, TruncatedAndChangedFramesAreErrorsOrValues)
{
  const std::vector<std::string> frames = { EncodeOrders(SampleOrders()),
                                            EncodeAnswers(SampleAnswers()) };
  std::mt19937 random(7);
  for (const std::string& frame : frames) {
    for (std::size_t size = 0; size < frame.size(); ++size) {
      DecodeErrorOf(DecodeOrders, frame.substr(0, size));
      DecodeErrorOf(DecodeAnswers, frame.substr(0, size));
    }
    for (int round = 0; round < 2000; ++round) {
      std::string changed = frame;
      changed[random() % changed.size()] = static_cast<char>(random());
      DecodeErrorOf(DecodeOrders, changed);
      DecodeErrorOf(DecodeAnswers, changed);
    }
  }
}

/// Values outside of an enumeration come from another version or from noise.
TEST(RelayFrameDecoders, UnknownStatesAreRefused)
{
  AnswerFrame frame;
  frame.m_answers.push_back(
    { 1, static_cast<platform::CommandState>(99), {}, {} });
  EXPECT_NE(DecodeErrorOf(DecodeAnswers, EncodeAnswers(frame)).find("state"),
            std::string::npos);
}

} // namespace

} // namespace lacewing::relay
