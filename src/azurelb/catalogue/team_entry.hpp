#pragma once

#include <azurelb/jobs/resources.hpp>

#include <string>
#include <vector>

namespace azurelb {

/** A team of the configuration. */
struct team_entry
{
    std::string name{};
    std::vector<std::string> keys{};
    /** Share when all is full. */
    double weight{1.0};
    /** Most that may run at a time over all executors; 0 in a member for no bound. */
    resources limit{};
};

} // namespace azurelb
