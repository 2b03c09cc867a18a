/// Classes of service requests, in the order in which they are served.
#pragma once

#include "core/EnumNames.h"

#include <cstdint>

namespace lacewing {

enum class RequestClass : std::uint8_t
{
  Urgent,
  Interactive, ///< a caller waits for the answer
  Patient,     ///< may wait, gives way to the others
};

inline constexpr std::size_t kRequestClasses = 3;

template<>
struct EnumNames<RequestClass>
{
  static constexpr std::array kTable = {
    std::pair{ RequestClass::Urgent, std::string_view("urgent") },
    std::pair{ RequestClass::Interactive, std::string_view("interactive") },
    std::pair{ RequestClass::Patient, std::string_view("patient") },
  };
};

} // namespace lacewing
