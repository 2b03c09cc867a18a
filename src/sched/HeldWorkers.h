/// Which workers are kept free for a gang that does not fit yet.
#pragma once

#include "sched/SliceState.h"

namespace lacewing::sched {

/// Workers that can hold all tasks once everything but services has ended on
/// them, those with the most room now first. They are in one failure domain if
/// one is large enough. Empty if even the whole slice is too small. Linear in
/// the number of workers.
std::vector<std::uint32_t>
ChooseWorkersToHold(const SliceState& aState,
                    const Request& aRequest,
                    std::uint32_t aTasks);

} // namespace lacewing::sched
