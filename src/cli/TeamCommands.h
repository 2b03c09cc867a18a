/// Commands for teams, their keys, shares and limits, and for queues.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

Result<void>
ListTeams(CommandContext& aContext);
Result<void>
ShowTeam(CommandContext& aContext);
Result<void>
CreateTeam(CommandContext& aContext);
Result<void>
RemoveTeam(CommandContext& aContext);

Result<void>
ListKeys(CommandContext& aContext);
/// Prints the key's text; it is shown this once and not kept.
Result<void>
MakeKey(CommandContext& aContext);
Result<void>
RotateKey(CommandContext& aContext);
Result<void>
WithdrawKey(CommandContext& aContext);

/// Prints the salted digest of the key in LACEWING_KEY, for `admin_key_digest`.
Result<void>
PrintKeyDigest(CommandContext& aContext);

Result<void>
SetShare(CommandContext& aContext);
Result<void>
SetLimit(CommandContext& aContext);
Result<void>
ShowLimit(CommandContext& aContext);

Result<void>
ListQueues(CommandContext& aContext);

} // namespace lacewing::cli
