/// Shell completion of the client.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

/// Prints a completion script for bash.
Result<void>
PrintBashCompletion(CommandContext& aContext);

} // namespace lacewing::cli
