#pragma once

#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** Limit and rights of a team as one daemon knows them. */
struct rights_status
{
    /** Upper limit over the fleet in the newest configuration. */
    right_count limit{};
    /** Rights that exist in the fleet, by the newest known rights document. */
    right_count minted{};
    /** Rights that this daemon holds, including those in use. */
    right_count held{};
    right_count inUse{};
    /** True if all rights together are within the limit, so that no daemon can exceed it. */
    bool inForce{};
};

} // namespace azurelb
