#pragma once

#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** What one daemon knows of a team's limit. */
struct rights_status
{
    /** Upper limit over the fleet by the newest configuration. */
    right_count limit{};
    /** Rights that exist over the fleet by the newest known rights document. */
    right_count minted{};
    /** Rights that this daemon holds, those in use included. */
    right_count held{};
    right_count inUse{};
    /** True if the sum of all rights is within the limit, so that the limit holds everywhere. */
    bool inForce{};
};

} // namespace azurelb
