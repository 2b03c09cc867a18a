/// Guards against malformed rows of the table that are taken for valid ones.
#include "ownership/LimitRow.h"
#include "ownership/MemberRow.h"
#include "ownership/SliceRow.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::ownership {

namespace {

/// The message of the `BadInput` error that decoding yields; empty if it
/// succeeds.
template<typename Decode>
std::string
ErrorOf(const Decode& aDecode, const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(aDecode(aText));
      return std::string();
    },
    [](const Error& aError) {
      EXPECT_EQ(aError.m_code, ErrorCode::BadInput);
      return aError.m_message;
    },
    [] { return std::string("untyped error"); });
}

/// Each field is left out, has another type, and an unknown one is added.
template<typename Decode>
void
ExpectStrict(const Decode& aDecode, const std::string& aValid)
{
  EXPECT_EQ(ErrorOf(aDecode, aValid), "");
  EXPECT_NE(ErrorOf(aDecode, "not json"), "");
  EXPECT_NE(ErrorOf(aDecode, "[]"), "");
  const auto valid = nlohmann::json::parse(aValid);
  for (const auto& [name, value] : valid.items()) {
    auto changed = valid;
    changed.erase(name);
    EXPECT_NE(ErrorOf(aDecode, changed.dump()), "") << "without " << name;
    changed[name] = nullptr;
    EXPECT_NE(ErrorOf(aDecode, changed.dump()), "") << "null " << name;
  }
  auto changed = valid;
  changed["other"] = 1;
  EXPECT_NE(ErrorOf(aDecode, changed.dump()), "");
}

} // namespace

TEST(OwnershipRows, MemberIsStrictAndRoundTrips)
{
  MemberRow row;
  row.m_state = MemberState::Draining;
  row.m_incarnation = 7;
  row.m_region = RegionId("lombardy");
  row.m_nonce = "n-1";
  EXPECT_EQ(DecodeMember(EncodeMember(row)).value(), row);
  ExpectStrict(DecodeMember, EncodeMember(row));
  std::string unknown = EncodeMember(row);
  unknown.replace(unknown.find("draining"), 8, "sleeping");
  EXPECT_EQ(ErrorOf(DecodeMember, unknown),
            "member row has the unknown state sleeping");
}

TEST(OwnershipRows, SliceIsStrictAndRoundTrips)
{
  SliceRow row;
  row.m_owner = VmId("vm");
  row.m_epoch = 9;
  row.m_busy = { { "endpoint", 3 } };
  row.m_planned = true;
  EXPECT_EQ(DecodeSlice(EncodeSlice(row)).value(), row);
  ExpectStrict(DecodeSlice, EncodeSlice(row));
}

TEST(OwnershipRows, LimitIsStrictAndRoundTrips)
{
  LimitRow row;
  row.m_limit = 10;
  row.m_allotments = { { "slice", 4 } };
  EXPECT_EQ(DecodeLimit(EncodeLimit(row)).value(), row);
  ExpectStrict(DecodeLimit, EncodeLimit(row));
  std::string negative = EncodeLimit(row);
  negative.replace(negative.find(":4"), 2, ":-4");
  EXPECT_EQ(ErrorOf(DecodeLimit, negative),
            "limit row field allotments.slice is not a non-negative integer");
}

TEST(OwnershipRows, LimitKeyNamesTeamAndUnit)
{
  const LimitId id{ TeamId("quality"), LimitUnit::Requests };
  EXPECT_EQ(ParseLimitKey(LimitKey(id)).value(), id);
  EXPECT_NE(ErrorOf(ParseLimitKey, "limit/quality/bananas"), "");
  EXPECT_NE(ErrorOf(ParseLimitKey, "limit/requests"), "");
}

} // namespace lacewing::ownership
