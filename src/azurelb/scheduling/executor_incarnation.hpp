#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>

namespace azurelb {

/** One life of an executor: an executor may start again under the identifier it had. */
struct executor_incarnation
{
    executor_id executor{};
    /** Unix milliseconds of its start. */
    std::int64_t startedUnixMs{0};
};

} // namespace azurelb
