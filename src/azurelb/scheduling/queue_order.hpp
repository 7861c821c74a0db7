#pragma once

#include <azurelb/scheduling/fwd.hpp>

namespace azurelb {

/** Order of the jobs of a pool that have not begun and can still meet their objective. */
enum class queue_order {
    /** A pool that lacks room serves some jobs in time instead of all of them too late. */
    newest_first,
    /** The job goes first whose objective is closest. */
    least_slack
};

} // namespace azurelb
