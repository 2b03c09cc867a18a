/// Checks that hold for every decoder: it returns a value or a typed error for
/// any input, and no exception escapes from it.
#pragma once

#include "core/Verdict.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lacewing {

/// The message of the error that decoding yields; empty if it succeeds. Fails
/// the test for an exception, for an untyped error and for another code.
template<typename Decode>
std::string
DecodeErrorOf(const Decode& aDecode,
              const std::string& aText,
              ErrorCode aCode = ErrorCode::BadInput)
{
  try {
    return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(aDecode(aText));
        return std::string();
      },
      [&](const Error& aError) {
        EXPECT_EQ(aError.m_code, aCode) << aError.m_message;
        EXPECT_FALSE(aError.m_message.empty());
        return aError.m_message;
      },
      [] {
        ADD_FAILURE() << "untyped error";
        return std::string("untyped error");
      });
  } catch (const std::exception& error) {
    ADD_FAILURE() << "exception escaped: " << error.what();
    return error.what();
  }
}

/// The decoded value; fails the test for an error.
template<typename Decode>
auto
DecodedOrFail(const Decode& aDecode, const std::string& aText)
{
  using Value = std::decay_t<decltype(aDecode(aText).value())>;
  return leaf::try_handle_all([&]() -> Result<Value> { return aDecode(aText); },
                              [](const Error& aError) {
                                ADD_FAILURE() << aError.m_message;
                                return Value();
                              },
                              [] {
                                ADD_FAILURE() << "untyped error";
                                return Value();
                              });
}

/// Calls back with each value inside a JSON document that is no container, and
/// with each container.
inline void
ForEachPointer(
  const nlohmann::json& aValue,
  const nlohmann::json::json_pointer& aAt,
  const std::function<void(const nlohmann::json::json_pointer&)>& aDo)
{
  aDo(aAt);
  if (aValue.is_object()) {
    for (const auto& [name, item] : aValue.items()) {
      ForEachPointer(item, aAt / name, aDo);
    }
  } else if (aValue.is_array()) {
    for (std::size_t i = 0; i < aValue.size(); ++i) {
      ForEachPointer(aValue[i], aAt / i, aDo);
    }
  }
}

/// Replaces each value of a valid document by values of other types and out of
/// range.
template<typename Decode>
void
SubstituteJsonValues(const Decode& aDecode,
                     const std::string& aValid,
                     ErrorCode aCode)
{
  const std::vector<std::string> values = { "null",
                                            "true",
                                            "-1",
                                            "4294967296",
                                            "18446744073709551615",
                                            "-9223372036854775808",
                                            "1e300",
                                            "0.5",
                                            "\"\"",
                                            "\"\\u0000\"",
                                            "[]",
                                            "[[[]]]",
                                            "{}",
                                            "{\"a\":{}}" };
  const auto valid = nlohmann::json::parse(aValid);
  ForEachPointer(valid,
                 nlohmann::json::json_pointer(),
                 [&](const nlohmann::json::json_pointer& aAt) {
                   for (const std::string& value : values) {
                     auto changed = valid;
                     changed[aAt] = nlohmann::json::parse(value);
                     DecodeErrorOf(aDecode, changed.dump(), aCode);
                   }
                   // Deep enough to overflow the stack of a recursive printer
                   // or copier.
                   constexpr std::size_t kDepth = 200'000;
                   auto marked = valid;
                   marked[aAt] = "DEEP";
                   std::string deep = marked.dump();
                   deep.replace(deep.find("\"DEEP\""),
                                6,
                                std::string(kDepth, '[') +
                                  std::string(kDepth, ']'));
                   DecodeErrorOf(aDecode, deep, aCode);
                 });
}

/// Random bytes, truncations of the valid text and mutations of it.
template<typename Decode>
void
FuzzDecoder(const Decode& aDecode,
            const std::string& aValid,
            ErrorCode aCode = ErrorCode::BadInput)
{
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kRounds = 3000;
  EXPECT_EQ(DecodeErrorOf(aDecode, aValid, aCode), "");
  std::mt19937_64 random(kSeed);
  const auto below = [&](std::size_t aBound) {
    return static_cast<std::size_t>(random() % aBound);
  };
  const auto byte = [&] { return static_cast<char>(below(256)); };
  for (std::size_t length = 0; length < aValid.size(); ++length) {
    DecodeErrorOf(aDecode, aValid.substr(0, length), aCode);
  }
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes(below(64), '\0');
    std::generate(bytes.begin(), bytes.end(), byte);
    DecodeErrorOf(aDecode, bytes, aCode);
    std::string mutated = aValid;
    for (std::size_t change = below(4) + 1; change > 0; --change) {
      const std::size_t at = below(mutated.size());
      static const std::string kSyntax = "0123456789-+.eE\"[]{},:/ntf";
      switch (below(3)) {
        case 0:
          mutated[at] = byte();
          break;
        case 1:
          mutated[at] = kSyntax[below(kSyntax.size())];
          break;
        default:
          mutated.insert(at, 1, kSyntax[below(kSyntax.size())]);
      }
    }
    DecodeErrorOf(aDecode, mutated, aCode);
  }
}

/// All of the above for a decoder of JSON.
template<typename Decode>
void
FuzzJsonDecoder(const Decode& aDecode,
                const std::string& aValid,
                ErrorCode aCode = ErrorCode::BadInput)
{
  FuzzDecoder(aDecode, aValid, aCode);
  SubstituteJsonValues(aDecode, aValid, aCode);
}

/// The valid text with one value replaced must be refused with an error that
/// contains the given text.
template<typename Decode>
void
ExpectNamed(const Decode& aDecode,
            const std::string& aValid,
            const std::string& aPointer,
            const nlohmann::json& aValue,
            const std::string& aNamed,
            ErrorCode aCode = ErrorCode::BadInput)
{
  auto changed = nlohmann::json::parse(aValid);
  changed[nlohmann::json::json_pointer(aPointer)] = aValue;
  const std::string message = DecodeErrorOf(aDecode, changed.dump(), aCode);
  EXPECT_NE(message.find(aNamed), std::string::npos)
    << aPointer << " = " << aValue << ": '" << message << "'";
}

} // namespace lacewing
