/// The row `slice/<name>`: who owns a slice, under which epoch.
#pragma once

#include "core/Ids.h"
#include "core/Verdict.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::ownership {

struct SliceRow
{
  VmId m_owner; ///< empty after a release
  Incarnation m_ownerIncarnation = 0;
  Epoch m_epoch = 0;
  std::string m_nonce;
  /// The owner before released the slice, or there was none; otherwise it was
  /// taken over, and `m_busy` is out of date.
  bool m_planned = false;
  /// Busy slots by endpoint, as of the release.
  std::map<std::string, std::int64_t> m_busy;

  bool operator==(const SliceRow&) const = default;
};

inline constexpr const char* kSlicePrefix = "slice/";

std::string
SliceKey(const SliceId& aSlice);
std::string
EncodeSlice(const SliceRow& aRow);
/// Errors: `BadInput` with what is wrong in the row.
Result<SliceRow>
DecodeSlice(const std::string& aText);

} // namespace lacewing::ownership
