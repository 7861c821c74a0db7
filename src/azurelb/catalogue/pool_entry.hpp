#pragma once

#include <string>

namespace azurelb {

/** A pool of the configuration. */
struct pool_entry
{
    std::string name{};
    /** Its VMs are switched off and cost nothing. */
    bool standby{false};
    /** Its executors reject what does not fit. */
    bool rejectsOverload{false};
};

} // namespace azurelb
