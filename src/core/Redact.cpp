#include "core/Redact.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::string_view kPrefix = "lwk.";

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

bool
IsKeyChar(char aChar)
{
  const char lower = Lower(aChar);
  return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
         aChar == '-' || aChar == '_' || aChar == '.' || aChar == '=' ||
         aChar == '+' || aChar == '/' || aChar == '%';
}

bool
StartsWithPrefix(std::string_view aText)
{
  return aText.size() >= kPrefix.size() &&
         std::equal(
           kPrefix.begin(),
           kPrefix.end(),
           aText.begin(),
           [](char aLeft, char aRight) { return aLeft == Lower(aRight); });
}

} // namespace

std::string
RedactKeys(std::string_view aText)
{
  std::string result;
  result.reserve(aText.size());
  while (!aText.empty()) {
    if (!StartsWithPrefix(aText)) {
      result += aText.front();
      aText.remove_prefix(1);
      continue;
    }
    result += "lwk.(hidden)";
    const auto end = std::find_if_not(aText.begin(), aText.end(), IsKeyChar);
    aText.remove_prefix(static_cast<std::size_t>(end - aText.begin()));
  }
  return result;
}

} // namespace lacewing
