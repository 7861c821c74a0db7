#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>

namespace azurelb {

/** One process lifetime of an executor, which may restart under the same identifier. */
struct executor_incarnation
{
    executor_id executor{};
    /** Start time, Unix time in milliseconds. */
    std::int64_t startedUnixMs{0};
    /** Its registration must be ignored from now on: the store may still list it although it has
        ended. Otherwise it was only unreachable for a while and may register again. */
    bool isFinal{false};
};

} // namespace azurelb
