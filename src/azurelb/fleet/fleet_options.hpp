#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace azurelb {

/** Limits of the planner. Times are monotonic, except the hour over which moves are counted. */
struct fleet_options
{
    using milliseconds = std::chrono::milliseconds;

    /** Time after a commit by which no daemon starts work according to an older document. */
    milliseconds freshnessBound{3000};
    /** Maximum age of the VM list for planning. */
    milliseconds maxListAge{10000};
    /** Time after which an unlisted VM is removed. Must exceed the lag of the list. */
    milliseconds unlistedTimeout{30000};
    /** Time for which a VM must be healthy without interruption before it serves. */
    milliseconds minHealthyTime{5000};
    /** Time after which a VM in the probing state that has not become healthy is broken. */
    milliseconds probeTimeout{300000};
    /** Maximum duration of a drain. Must exceed the longest deadline of a request. */
    milliseconds drainTimeout{120000};
    /** Time after which a reboot without effect is ordered again. Must exceed the lag of the list.
     */
    milliseconds rebootRetryInterval{60000};
    /** Time after which a VM that has not come back from its reboot is broken. */
    milliseconds rebootTimeout{600000};
    /** Time after a commit's start within which its orders may be sent to the platform. */
    milliseconds maxOrderDelay{5000};
    std::uint32_t maxRebootAttempts{2};
    /** Minimum time between two VMs that return to a pool, so that a zone returns gradually. */
    milliseconds returnInterval{2000};
    /** Time over which demand is averaged; long compared with a peak. */
    milliseconds demandAveragingTime{600000};
    /** Time for which a pool must differ from its target size before it is resized. The operators'
        weight of moves raises it up to threefold. */
    milliseconds resizeDelay{300000};
    /** Maximum number of moves per hour for resizing; the operators' weight of moves lowers it. */
    std::uint32_t maxMovesPerHour{12};
    /** Number of failures among the last failureWindow results at which a wave pauses. */
    std::uint32_t failureLimit{3};
    int failureWindow{8};
};

} // namespace azurelb
