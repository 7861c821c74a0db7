#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** Upper limits of all teams at one revision of the configuration. */
struct rights_limits
{
    revision configRevision{};
    team_counts limits{};

    /** The limit of one team; 0 for a team that the configuration does not know. */
    [[nodiscard]] right_count find(const team_name &team) const
    {
        const auto found = limits.find(team);
        return found == limits.end() ? 0 : found->second;
    }
};

} // namespace azurelb
