/// Keeps keys out of every text that people or files may see.
#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// The text with every token that begins with "lwk." replaced, in upper or
/// lower case and up to the first character that can't be part of a key.
std::string
RedactKeys(std::string_view aText);

} // namespace lacewing
