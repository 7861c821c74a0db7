#pragma once

#include <azurelb/share/fwd.hpp>

#include <chrono>
#include <cstddef>

namespace azurelb {

/** Bounds of the dispatching of executor slots. All daemons of a fleet use the same. */
struct share_options
{
    /** Most slots of one upstream at one daemon: connections to an executor over entry VMs. */
    std::uint32_t maxSlotsPerDaemon{7};
    /** Most requests of one team that wait at one daemon for one pool. */
    std::size_t maxWaitingPerTeam{1000};
    /** Most waiting requests of a team that hold a right beyond the number running. */
    std::uint32_t maxBackedWaiting{4};
    /** Shortest time between two messages of one sender about urgent changes. */
    std::chrono::milliseconds urgentInterval{1};
    /** Shortest time between two messages about other changes. */
    std::chrono::milliseconds routineInterval{10};
    /** Longest time between two messages. */
    std::chrono::milliseconds heartbeatInterval{400};
    /** A message that is not acknowledged by then is sent anew. */
    std::chrono::milliseconds retransmissionInterval{20};
    /** A daemon starts nothing on its slots for longer than this after the last report that the
        dispatcher has acknowledged. */
    std::chrono::milliseconds leaseTime{2000};
    /** How long an executor may go on with the work of a daemon that is gone. */
    std::chrono::milliseconds orphanedRunTime{500};
    /** A new dispatcher assigns nothing before all daemons have reported or this has passed. */
    std::chrono::milliseconds initialReportTimeout{300};
    /** Time within which a team's lead or lag behind its share is made good. */
    std::chrono::milliseconds correctionWindow{250};
    /** A pool without any upstream refuses its requests after this time. */
    std::chrono::milliseconds noUpstreamGrace{2000};
    /** Idle slots are assigned to daemons ahead of demand. */
    bool spreadsIdleSlots{true};
    /** A daemon uses a slot again without asking. */
    bool reusesSlots{true};
    /** Outcomes of attempts decide on whether an upstream is used. */
    bool usesCircuitBreakers{true};
    /** Teams that lag behind their share are given more until they have caught up. */
    bool correctsShares{true};
};

} // namespace azurelb
