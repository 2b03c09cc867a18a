/// Guards against clients that hold the memory or all connections of a server,
/// and against closing a connection whose request is being handled.
#include "net/ConnectionBook.h"

#include <gtest/gtest.h>

namespace lacewing::net {

namespace {

using Ids = std::vector<ConnectionBook::Id>;

TEST(ConnectionBook, LeastRecentlyUsedConnectionsAreClosedFirst)
{
  ConnectionBook book({ 2, 1000 });
  const auto first = book.Open();
  const auto second = book.Open();
  EXPECT_FALSE(book.HasExcess());
  book.OnRequest(first, 0, 0);
  book.OnResponse(first);
  book.Open();
  ASSERT_TRUE(book.HasExcess());
  EXPECT_EQ(book.Excess(), Ids{ second });
}

TEST(ConnectionBook, ConnectionThatHoldsMostIsClosedFirst)
{
  ConnectionBook book({ 10, 1000 });
  const auto small = book.Open();
  const auto large = book.Open();
  book.OnReceived(small, 300);
  book.OnReceived(large, 600);
  EXPECT_FALSE(book.HasExcess());
  book.OnReceived(small, 200);
  ASSERT_TRUE(book.IsFull());
  EXPECT_EQ(book.Excess(), Ids{ large });
}

TEST(ConnectionBook, RequestUnderWayIsNotClosed)
{
  ConnectionBook book({ 1, 1000 });
  const auto busy = book.Open();
  book.OnReceived(busy, 900);
  book.OnRequest(busy, 0, 900);
  const auto idle = book.Open();
  book.OnReceived(idle, 200);
  EXPECT_EQ(book.Excess(), Ids{ idle });
}

TEST(ConnectionBook, BytesComeBackWithTheResponseAndTheEnd)
{
  ConnectionBook book({ 10, 1000 });
  const auto connection = book.Open();
  book.OnReceived(connection, 900);
  book.OnRequest(connection, 100, 700);
  EXPECT_EQ(book.Bytes(), 800U);
  book.OnResponse(connection);
  EXPECT_EQ(book.Bytes(), 100U);
  book.OnClosed(connection);
  EXPECT_EQ(book.Bytes(), 0U);
  EXPECT_EQ(book.Connections(), 0U);
}

/// Guards against closing a client before its first request has arrived, since
/// those that send all the time were used later.
TEST(ConnectionBook, ClientThatSendsAheadIsClosedBeforeANewOne)
{
  ConnectionBook book({ 2, 1000 });
  const auto served = book.Open();
  book.OnRequest(served, 0, 0);
  book.OnResponse(served);
  const auto ahead = book.Open();
  book.Open();
  book.OnRequest(ahead, 50, 0);
  book.OnResponse(ahead);
  EXPECT_EQ(book.Excess(), Ids{ ahead });
}

/// Guards against counting as ahead a client that has caught up.
TEST(ConnectionBook, ClientThatHasCaughtUpNoLongerSendsAhead)
{
  ConnectionBook book({ 2, 1000 });
  const auto first = book.Open();
  const auto second = book.Open();
  book.OnRequest(second, 0, 0);
  book.OnResponse(second);
  book.OnRequest(first, 50, 0);
  book.OnResponse(first);
  book.OnRequest(first, 0, 0);
  book.OnResponse(first);
  book.Open();
  EXPECT_EQ(book.Excess(), Ids{ second });
}

/// Guards against new connections without a request that keep out all others.
TEST(ConnectionBook, NewConnectionsKeepToHalf)
{
  ConnectionBook book({ 4, 1000 });
  const auto served = book.Open();
  const auto oldest = book.Open();
  book.Open();
  book.Open();
  book.Open();
  book.OnRequest(served, 0, 0);
  book.OnResponse(served);
  EXPECT_EQ(book.Excess(), Ids{ oldest });
}

/// Guards against closing a client that has just connected before those that
/// send bodies without end and connect again.
TEST(ConnectionBook, NewConnectionThatHoldsMostIsClosedFirst)
{
  ConnectionBook book({ 2, 1000 });
  book.Open();
  const auto large = book.Open();
  const auto small = book.Open();
  book.OnReceived(large, 20);
  book.OnReceived(small, 10);
  EXPECT_EQ(book.Excess(), Ids{ large });
}

/// Guards against closing a client that is about to send its request, in the
/// place of a crowd that connects at the same time.
TEST(ConnectionBook, ConnectionsThatHaveJustComeDoNotCount)
{
  ConnectionBook book({ 4, 1000 });
  const auto client = book.Open();
  constexpr std::size_t kCrowd = 8;
  for (std::size_t count = 0; count < kCrowd; ++count) {
    book.Open();
  }
  EXPECT_EQ(book.Excess(kCrowd), Ids{});
  EXPECT_EQ(book.Excess().front(), client);
}

/// Guards against closing clients that hold nothing for those that hold too
/// much and can't be closed.
TEST(ConnectionBook, ConnectionThatHoldsNothingIsNotClosedForBytes)
{
  ConnectionBook book({ 10, 1000 });
  const auto busy = book.Open();
  book.OnRequest(busy, 0, 2000);
  book.Open();
  const auto holding = book.Open();
  book.OnReceived(holding, 100);
  EXPECT_EQ(book.ExcessOfBytes(), Ids{ holding });
}

/// Guards against a used connection that keeps out new ones as long as these
/// are few.
TEST(ConnectionBook, UsedConnectionIsClosedBeforeANewOne)
{
  ConnectionBook book({ 4, 1000 });
  const auto older = book.Open();
  book.Open();
  for (int count = 0; count < 2; ++count) {
    const auto later = book.Open();
    book.OnRequest(later, 0, 0);
    book.OnResponse(later);
  }
  book.Open();
  book.OnRequest(older, 0, 0);
  book.OnResponse(older);
  EXPECT_EQ(book.Excess(), Ids{ older + 2 });
}

/// Guards against closing a new client while all others have requests under way
/// and send further ones.
TEST(ConnectionBook, ClientThatSendsAheadEndsWithItsResponse)
{
  ConnectionBook book({ 4, 1000 });
  Ids crowd;
  for (int count = 0; count < 4; ++count) {
    crowd.push_back(book.Open());
    book.OnRequest(crowd.back(), 0, 0);
    book.OnReceived(crowd.back(), 50);
  }
  EXPECT_FALSE(book.EndsWithResponse(crowd.front()));
  book.Open();
  EXPECT_EQ(book.Excess(), Ids{});
  EXPECT_TRUE(book.EndsWithResponse(crowd.front()));
  const auto second = book.Open();
  ASSERT_GT(second, crowd.back());
  EXPECT_EQ(book.Excess().size(), 1U);
}

/// A reply may come after its connection has gone.
TEST(ConnectionBook, EventsOfAClosedConnectionChangeNothing)
{
  ConnectionBook book({ 10, 1000 });
  const auto connection = book.Open();
  book.OnRequest(connection, 0, 500);
  book.OnClosed(connection);
  book.OnResponse(connection);
  book.OnReceived(connection, 100);
  EXPECT_EQ(book.Bytes(), 0U);
}

} // namespace

} // namespace lacewing::net
