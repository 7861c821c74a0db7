#pragma once

#include <cstdint>
#include <string>

namespace azurelb::bench {

/** A team that calls, with its key and what was configured for it. */
struct team_option
{
    std::string name{};
    std::string key{};
    double share{};
    std::uint64_t limit{};
};

} // namespace azurelb::bench
