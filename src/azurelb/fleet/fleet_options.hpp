#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace azurelb {

/** Bounds of the planner. All times are monotonic but for the hour that moves are counted over. */
struct fleet_options
{
    using milliseconds = std::chrono::milliseconds;

    /** After this time no daemon starts work by a document older than a committed one. */
    milliseconds freshnessBound{3000};
    /** A list of VMs fetched longer ago is not planned with. */
    milliseconds maxListAge{10000};
    /** Unlisted VMs are dropped after this time. It is longer than the list lags. */
    milliseconds unlistedTimeout{30000};
    /** A VM is healthy for this time without a break before it serves. */
    milliseconds minHealthyTime{5000};
    /** A VM that is not healthy by then is broken. */
    milliseconds probeTimeout{300000};
    /** Longest drain. It is longer than the longest deadline of a request. */
    milliseconds drainTimeout{120000};
    /** A reboot without effect is ordered again after this time. It is longer than the list lags.
     */
    milliseconds rebootRetryInterval{60000};
    milliseconds rebootTimeout{600000};
    /** Latest moment after the commit at which an order may still go to the platform. */
    milliseconds maxOrderDelay{5000};
    std::uint32_t maxRebootAttempts{2};
    /** In each pool one VM returns in this time, so that a zone comes back gradually. */
    milliseconds returnInterval{2000};
    /** Demand is averaged over this time, which is long against a peak. */
    milliseconds demandAveragingTime{600000};
    /** A pool is resized only after it has been off its size for this time, up to threefold. */
    milliseconds resizeDelay{300000};
    /** Most moves in an hour, less the operators' weight of moves, before pools are resized. */
    std::uint32_t maxMovesPerHour{12};
    /** A wave pauses when so many of its newest results are failures. */
    std::uint32_t failureLimit{3};
    int failureWindow{8};
};

} // namespace azurelb
