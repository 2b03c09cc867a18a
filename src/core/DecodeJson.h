/// Runs a decoder that reports bad input by exceptions of the JSON library.
#pragma once

#include "core/Verdict.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing {

/// Deepest nesting of a message. The library copies values recursively, so that
/// a deeply nested one could overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

/// Parses a text of an unknown writer. Throws an exception of the JSON library
/// if it is malformed or nested too deeply.
inline nlohmann::json
ParseJson(const std::string& aText)
{
  using Json = nlohmann::json;
  return Json::parse(aText, [](int aDepth, Json::parse_event_t, const Json&) {
    if (aDepth > kMaxJsonDepth) {
      constexpr int kDepthErrorNumber = 601;
      throw Json::other_error::create(
        kDepthErrorNumber, "values are nested too deeply", nullptr);
    }
    return true;
  });
}

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
