#pragma once

#include <azurelb/scheduling/fwd.hpp>

namespace azurelb {

/** Order of the jobs of a pool that have not started and can still meet their objective. */
enum class queue_order {
    /** Newest job first: an overloaded pool completes some jobs in time instead of all too late. */
    newest_first,
    /** Job with the least time left until its objective first. */
    least_slack
};

} // namespace azurelb
