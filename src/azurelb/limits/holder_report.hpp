#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

namespace azurelb {

/** One daemon's holdings of a team's rights and its load. */
struct holder_report
{
    member holder{};
    right_count holdings{};
    /** Rights that the holder could use: team_demand::load(). */
    right_count load{};
    /** Number of orders that the holder has executed. An order is valid for one sequence only. */
    std::uint64_t sequence{};
};

} // namespace azurelb
