#pragma once

#include <azurelb/capacity/fwd.hpp>
#include <azurelb/capacity/vm_view.hpp>
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
    /** Time in which the runs of a reserved VM usually end: the longest tasks take 5 s. */
    std::chrono::milliseconds drainTime{5000};
    /** Time in which long-running tasks move from a VM and its maintenance is done. */
    std::chrono::milliseconds vacateTime{4000};
    /** Time from the stop of a long-running task until it is at work on another VM: up to 0.9 s for
        the stop, 1.8 s for its startup, and a report. */
    std::chrono::milliseconds interruptionTime{3000};
    /** Kept back from the deadline. */
    std::chrono::milliseconds deadlineMargin{3000};
};

/** What to do next for a wave. */
struct wave_step
{
    /** Empty VMs whose maintenance begins now. */
    std::vector<std::string> vmsToMaintain{};
    /** VMs that get no new runs, so that they become empty. */
    std::vector<std::string> vmsToReserve{};
    bool completed{false};
};

/**
 * Next step of a maintenance wave. VMs that are empty anyway go first; busy ones are reserved in
 * time for the deadline, those with only long-running tasks before those with short ones. Load
 * pattern: steps of 24 long-running tasks of which one may be unavailable, half of them on VMs of
 * the wave. Their interruptions follow one another, so the steps with most of them begin first,
 * and a step gets no more reserved VMs than it can leave.
 */
[[nodiscard]] wave_step planWave(const wave_entry &wave, const wave_progress &progress,
                                 const std::vector<vm_view> &vms, boot_time now,
                                 const wave_options &options);

} // namespace azurelb
