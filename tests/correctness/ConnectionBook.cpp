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
