#pragma once

#include <string>

namespace azurelb {

/** Configuration of a pool. */
struct pool_entry
{
    std::string name{};
    /** Its VMs are switched off and incur no cost. */
    bool standby{false};
    /** Its executors reject runs that exceed their free resources. */
    bool rejectsOverload{false};
};

} // namespace azurelb
