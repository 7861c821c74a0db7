#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** Upper limits of all teams at one configuration revision. */
struct rights_limits
{
    revision configRevision{};
    team_counts limits{};

    /** Returns the limit of a team, or 0 if the configuration does not list it. */
    [[nodiscard]] right_count find(const team_name &team) const
    {
        const auto found = limits.find(team);
        return found == limits.end() ? 0 : found->second;
    }
};

} // namespace azurelb
