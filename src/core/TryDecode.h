/// Runs a decoder whose error is of no interest to the caller.
#pragma once

#include "core/Verdict.h"

#include <optional>

namespace lacewing {

/// The value of the result that `aDecode` returns, or nothing for an error.
template<typename T, typename Decode>
std::optional<T>
TryDecode(Decode aDecode)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aDecode());
      return std::optional<T>(std::move(value));
    },
    [] { return std::optional<T>(); });
}

} // namespace lacewing
