/// Commands for the settings tree.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

Result<void>
ListSettings(CommandContext& aContext);
Result<void>
GetSettings(CommandContext& aContext);
/// Sets one value of a subtree.
Result<void>
SetSetting(CommandContext& aContext);
/// What would change if the file were applied.
Result<void>
DiffSettings(CommandContext& aContext);
Result<void>
SettingsHistory(CommandContext& aContext);
/// Checks a file without a running system.
Result<void>
CheckSettings(CommandContext& aContext);
/// Replaces a subtree by a file if it still has the base version; with --wait
/// returns when the version is in force on all members.
Result<void>
ApplySettings(CommandContext& aContext);

} // namespace lacewing::cli
