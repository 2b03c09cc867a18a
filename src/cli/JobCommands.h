/// Commands for jobs: submit, status, cancel, explain.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

Result<void>
Submit(CommandContext& aContext);
Result<void>
Status(CommandContext& aContext);
Result<void>
Cancel(CommandContext& aContext);
/// Decides about tasks that may have run: run them again or count them as
/// failed.
Result<void>
Resolve(CommandContext& aContext);
Result<void>
Explain(CommandContext& aContext);

} // namespace lacewing::cli
