/// Guards against allotments that keep the timings with which the process
/// started.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"
#include "ownership/AllotmentBook.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

using ownership::AllotmentBook;

const SliceId kSlice("workers-a-0");
const ownership::LimitId kLimit{ TeamId("desk"),
                                 ownership::LimitUnit::Millicores };

/// Holds a slice that has 100 of a limit of 1000, all idle since the start.
AllotmentBook
MakeBook()
{
  AllotmentBook book{ ownership::OwnershipOptions() };
  ownership::LimitRow limit;
  limit.m_limit = 1000;
  limit.m_inForce = 1000;
  limit.m_allotments[kSlice.Value()] = 100;
  table::Row row;
  row.m_version = 1;
  row.m_value = ownership::EncodeLimit(limit);
  book.Hold(kSlice);
  book.OnRows({ { ownership::LimitKey(kLimit), row } });
  book.Confirm(kSlice);
  book.SetDemands(Time(), kSlice, { { kLimit, {} } });
  return book;
}

bool
IsSent(AllotmentBook& aBook, Duration aAfter)
{
  return !aBook.Due(Time() + aAfter, kSlice, 1, "nonce").empty();
}

} // namespace

TEST(SettingAllotmentTimings, IdleAllotmentIsGivenBackAfterTheTimeOfTheSettings)
{
  AllotmentBook book = MakeBook();
  book.SetTimings(AllotmentTimingsOf(
    fakes::SystemSettings("[limits]\nidle_return_ms = 2000\n")));
  EXPECT_FALSE(IsSent(book, milliseconds(1999)));
  EXPECT_TRUE(IsSent(book, seconds(2)));
}

TEST(SettingAllotmentTimings, ShorterIntervalAppliesToATransactionThatWaits)
{
  AllotmentBook book = MakeBook();
  book.SetTimings(AllotmentTimingsOf(
    fakes::SystemSettings("[limits]\ntransaction_ms = 60000\n")));
  ASSERT_TRUE(IsSent(book, seconds(5)));
  book.OnResult(kSlice, table::CommitState::NotApplied);
  EXPECT_FALSE(IsSent(book, seconds(30)));
  book.SetTimings(AllotmentTimingsOf(
    fakes::SystemSettings("[limits]\ntransaction_ms = 20000\n")));
  EXPECT_FALSE(IsSent(book, milliseconds(24'999)));
  EXPECT_TRUE(IsSent(book, seconds(25)));
}

TEST(SettingAllotmentTimings, WaitsBeforeStopsAreThoseOfTheScheduler)
{
  const auto options = SchedulerOptionsOf(fakes::SystemSettings(
    "[limits]\nstop_patient_ms = 1500\nstop_any_ms = 2500\n"));
  EXPECT_EQ(options.m_allotmentPatientWait, milliseconds(1500));
  EXPECT_EQ(options.m_allotmentWait, milliseconds(2500));
}

} // namespace lacewing::daemon
