/// Changes single settings in an INI text and keeps its comments and order.
#pragma once

#include <optional>
#include <string>

namespace lacewing::cli {

/// The text with the key set in the section; both are added where missing.
std::string
SetIniValue(const std::string& aText,
            const std::string& aSection,
            const std::string& aKey,
            const std::string& aValue);

/// The text without the key, or nothing if the key is not there.
std::optional<std::string>
RemoveIniValue(const std::string& aText,
               const std::string& aSection,
               const std::string& aKey);

} // namespace lacewing::cli
