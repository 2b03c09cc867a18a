/// Places for all tasks of a gang at once, on as few racks and failure domains
/// as the free resources allow.
#pragma once

#include "sched/FreeTable.h"

namespace lacewing::sched {

/// How many tasks of the request the worker can take now.
std::uint32_t
CountThatFit(const FreeTable& aTable,
             std::uint32_t aWorker,
             const Request& aRequest);

/// How often the need goes into the amounts.
std::uint32_t
CountThatFit(const Resources& aAvailable, const Resources& aNeed);

/// A worker for each of the tasks, or an empty list if not all of them fit. The
/// fullest rack that takes them all comes first. Otherwise the failure domains
/// are tried one by one, then all together, the one with the most free
/// processors first, and within a domain the racks in the same order.
std::vector<std::uint32_t>
PlaceGangByRack(const FreeTable& aTable,
                const Request& aRequest,
                std::uint32_t aTasks);

} // namespace lacewing::sched
