#pragma once

#include "simulated_fleet.hpp"

#include <cstdio>
#include <initializer_list>
#include <utility>

namespace azurelb::testing {

using namespace std::chrono_literals;

/** Six teams of different size; the shares add up to 100. */
inline const std::vector<team_share> sixTeams{
    {team_name{"large-1"}, 40}, {team_name{"large-2"}, 30}, {team_name{"middle"}, 12},
    {team_name{"small-1"}, 8},  {team_name{"small-2"}, 6},  {team_name{"small-3"}, 4}};

/** Number of slots of the default fleet. */
constexpr double allSlots{80};
constexpr double meanRunSeconds{0.05};

/** Options of a fleet of nine daemons and ten executors with eight slots each. */
[[nodiscard]] inline fleet_options defaultFleet()
{
    fleet_options options;
    options.shares = sixTeams;
    return options;
}

/** Each team requests `multiple` times the whole capacity, unevenly over the daemons. */
inline void addUnevenLoad(simulated_fleet &fleet, double multiple)
{
    constexpr double weights[]{8, 4, 2, 1, 1, 1, 0, 0, 0};
    constexpr double sum{17};
    const double all = multiple * allSlots / meanRunSeconds;
    for (std::size_t team = 0; team < sixTeams.size(); ++team) {
        for (std::size_t at = 0; at < std::size(weights); ++at) {
            const std::size_t daemon = (at + 3 * team) % std::size(weights);
            fleet.addLoad({sixTeams[team].team, daemon, all * weights[at] / sum, 1000ms});
        }
    }
}

/** Used part of the slot time since `before`, relative to what the network delay permits. */
[[nodiscard]] inline double utilisation(simulated_fleet &fleet, double before, double slots,
                                        double seconds)
{
    const double possible = slots * seconds * meanRunSeconds / (meanRunSeconds + 0.003);
    return (fleet.total().usedSeconds - before) / possible;
}

/** Prints labelled values on one line. */
inline void print(const char *label,
                  std::initializer_list<std::pair<const char *, double>> statistics)
{
    std::printf("\n  %s:", label);
    for (const auto &[name, value] : statistics)
        std::printf(" %s %.2f", name, value);
    std::printf("\n");
}

[[nodiscard]] inline double toMilliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace azurelb::testing
