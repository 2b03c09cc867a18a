/// Reads and changes subtrees of the settings by compare-and-set.
#pragma once

#include "cli/EntryClient.h"

#include <functional>

namespace lacewing::cli {

struct Subtree
{
  std::string m_name;
  std::uint64_t m_version = 0; ///< 0 if it does not exist
  std::string m_text;          ///< INI text
};

/// The subtree, or one of version 0 if there is none.
Result<Subtree>
FetchSubtree(EntryClient& aClient, const std::string& aName);

/// Replaces the text if the subtree still has the version; the new version.
/// Errors: `Conflict` when another change came first, `BadInput` with every
/// error in the text.
Result<std::uint64_t>
ReplaceSubtree(EntryClient& aClient, const Subtree& aSubtree);

/// Reads the subtree, edits its text and replaces it; starts over when another
/// operator's change comes between. Errors: those of the edit, `NotFound` if
/// there is no such subtree.
Result<std::uint64_t>
EditSubtree(
  EntryClient& aClient,
  const std::string& aName,
  const std::function<Result<std::string>(const std::string&)>& aEdit);

} // namespace lacewing::cli
