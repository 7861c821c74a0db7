#pragma once

#include <azurelb/jobs/resources.hpp>

#include <string>
#include <vector>

namespace azurelb {

/** Configuration of a team. */
struct team_entry
{
    std::string name{};
    std::vector<std::string> keys{};
    /** Relative share of the capacity under contention. */
    double weight{1.0};
    /** Maximum in use at a time over all executors; 0 in a member means no limit. */
    resources limit{};
};

} // namespace azurelb
