/// Runs a decoder that reports bad input by exceptions of the JSON library.
#pragma once

#include "core/Verdict.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing {

/// The decoder's value, or `BadInput` with what is wrong, prefixed by the name
/// of what was decoded.
template<typename Decode>
auto
DecodeJson(Verdict aVerdict, const char* aWhat, const Decode& aDecode)
  -> Result<decltype(aDecode())>
{
  try {
    return aDecode();
  } catch (const nlohmann::json::exception& error) {
    return Fail(aVerdict,
                ErrorCode::BadInput,
                std::string(aWhat) + " cannot be read: " + error.what());
  }
}

} // namespace lacewing
