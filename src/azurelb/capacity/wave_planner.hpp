#pragma once

#include <azurelb/capacity/fleet_snapshot.hpp>
#include <azurelb/capacity/fwd.hpp>
#include <azurelb/capacity/wave_progress.hpp>
#include <azurelb/catalogue/wave_entry.hpp>
#include <azurelb/core/boot_clock.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace azurelb {

struct wave_options
{
    std::chrono::milliseconds maintenanceTime{2000};
    /** Time in which a reserved VM becomes empty: the longest tasks take 5 s. */
    std::chrono::milliseconds drainTime{5000};
    /** Time to move the long-running tasks off a VM and to complete its maintenance. */
    std::chrono::milliseconds vacateTime{4000};
    /** Time until a stopped long-running task works on another VM: up to 0.9 s for the stop, 1.8 s
        for the startup, and a report. */
    std::chrono::milliseconds interruptionTime{3000};
    /** Time before the deadline at which the wave should be completed. */
    std::chrono::milliseconds deadlineMargin{3000};
};

/** Next actions of a wave. */
struct wave_step
{
    /** Empty VMs whose maintenance should begin now. */
    std::vector<std::string> vmsToMaintain{};
    /** VMs that should get no new runs, so that they become empty. */
    std::vector<std::string> vmsToReserve{};
    bool completed{false};
};

/**
 * Plans the next step of a maintenance wave. Empty VMs go first, before all those that were
 * reserved until they are empty. Busy VMs are reserved in time for
 * the deadline, those with only long-running tasks before those with short ones.
 *
 * Expected load: steps of 24 long-running tasks of which one may be unavailable, half of them on
 * VMs of the wave. The interruptions within a step are sequential. VMs of steps with the most
 * interruptions are therefore reserved first, and even before empty VMs are used if the
 * interruptions take over half of the time left. A step has at most one reserved VM more than its
 * limit of unavailable tasks.
 *
 * A VM that the snapshot lacks needs no maintenance if the snapshot is as recent as the wave: it
 * has left the fleet. Otherwise it may have been added since, and the wave stays open.
 */
[[nodiscard]] wave_step planWave(const wave_entry &wave, const wave_progress &progress,
                                 const fleet_snapshot &fleet, boot_time now,
                                 const wave_options &options);

} // namespace azurelb
