/// Checked access to the fields of JSON messages. The JSON library converts
/// numbers without a range check: it reads -1 as the largest unsigned number.
#pragma once

#include "core/Verdict.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>

namespace lacewing {

/// Error number of the exceptions that these functions add to those of the
/// JSON library; it only has to differ from the library's own.
inline constexpr int kFieldErrorNumber = 600;

/// Largest amount of a resource in a message. Sums over any fleet stay within
/// 64 bits.
inline constexpr std::int64_t kMaxResourceAmount = std::int64_t{ 1 } << 40;

/// Short text of a value for messages. Arrays and objects are named by their
/// type only, since the library prints nested values recursively and a deeply
/// nested one would overflow the stack.
inline std::string
ShortText(const nlohmann::json& aValue)
{
  constexpr std::size_t kMaxBytes = 200;
  if (aValue.is_structured()) {
    return std::string("an ") + aValue.type_name();
  }
  std::string text =
    aValue.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxBytes) {
    text = text.substr(0, kMaxBytes) + "...";
  }
  return text;
}

/// Throws an exception of the JSON library that names the field and its value.
[[noreturn]] inline void
ThrowBadField(const std::string& aField,
              const nlohmann::json& aValue,
              const std::string& aExpected)
{
  throw nlohmann::json::other_error::create(kFieldErrorNumber,
                                            "field '" + aField + "' is " +
                                              ShortText(aValue) +
                                              "; expected " + aExpected,
                                            &aValue);
}

/// The value as a whole number within the limits. Throws an exception of the
/// JSON library for any other value.
template<typename Number>
Number
WholeNumber(const nlohmann::json& aValue,
            const std::string& aField,
            Number aMin = std::numeric_limits<Number>::min(),
            Number aMax = std::numeric_limits<Number>::max())
{
  const auto inRange = [&](auto aNumber) {
    return std::cmp_greater_equal(aNumber, aMin) &&
           std::cmp_less_equal(aNumber, aMax);
  };
  const bool valid =
    aValue.is_number_unsigned()  ? inRange(aValue.get<std::uint64_t>())
    : aValue.is_number_integer() ? inRange(aValue.get<std::int64_t>())
                                 : false;
  if (!valid) {
    ThrowBadField(aField,
                  aValue,
                  "a whole number from " + std::to_string(aMin) + " to " +
                    std::to_string(aMax));
  }
  return aValue.get<Number>();
}

/// A required field with a whole number.
template<typename Number>
Number
NumberField(const nlohmann::json& aObject,
            const char* aField,
            Number aMin = std::numeric_limits<Number>::min(),
            Number aMax = std::numeric_limits<Number>::max())
{
  return WholeNumber<Number>(aObject.at(aField), aField, aMin, aMax);
}

/// A required field with an array. The library iterates over null as over an
/// empty array, which would hide a missing list.
inline const nlohmann::json&
ArrayField(const nlohmann::json& aObject, const char* aField)
{
  const nlohmann::json& value = aObject.at(aField);
  if (!value.is_array()) {
    ThrowBadField(aField, value, "an array");
  }
  return value;
}

/// A required field with an object.
inline const nlohmann::json&
ObjectField(const nlohmann::json& aObject, const char* aField)
{
  const nlohmann::json& value = aObject.at(aField);
  if (!value.is_object()) {
    ThrowBadField(aField, value, "an object");
  }
  return value;
}

/// A required field of any other type that the library converts strictly.
template<typename Value>
Value
TypedField(const nlohmann::json& aObject, const char* aField)
{
  const nlohmann::json& value = aObject.at(aField);
  try {
    return value.get<Value>();
  } catch (const nlohmann::json::type_error& error) {
    ThrowBadField(aField, value, error.what());
  }
}

/// Parses a text and runs a decoder over it. Errors: `BadInput` with what is
/// wrong in the text; `aWhat` names it.
template<typename Decode>
auto
DecodeJson(const std::string& aWhat, const std::string& aText, Decode aDecode)
  -> Result<std::decay_t<decltype(aDecode(nlohmann::json()))>>
{
  try {
    return aDecode(nlohmann::json::parse(aText));
  } catch (const nlohmann::json::exception& error) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                aWhat + " is malformed: " + error.what());
  }
}

} // namespace lacewing
