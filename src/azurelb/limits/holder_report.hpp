#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

namespace azurelb {

/** What one daemon holds and could use of a team's rights. */
struct holder_report
{
    member holder{};
    right_count holdings{};
    /** Recent use and waiting requests, and a little headroom. */
    right_count load{};
    /** Orders that the holder has carried out; an order names it so that it is executed once. */
    std::uint64_t sequence{};
};

} // namespace azurelb
