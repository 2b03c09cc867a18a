#include "sched/SliceScheduler.h"

namespace lacewing::sched {

template class SliceScheduler<FairOrder, BestFitPlacement>;

} // namespace lacewing::sched
