#pragma once

#include <cstdint>
#include <string>

namespace azurelb::bench {

/** A calling team: its name, API key and configured share and limit. */
struct team_option
{
    std::string name{};
    std::string key{};
    double share{};
    std::uint64_t limit{};
};

} // namespace azurelb::bench
