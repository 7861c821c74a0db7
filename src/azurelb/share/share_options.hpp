#pragma once

#include <azurelb/share/fwd.hpp>

#include <chrono>
#include <cstddef>

namespace azurelb {

/** Options of the dispatching of executor slots; must be the same on all daemons of a fleet. */
struct share_options
{
    /** Maximum slots of one upstream at one daemon: an executor's connections divided by the
        number of entry VMs. */
    std::uint32_t maxSlotsPerDaemon{7};
    /** Maximum requests of one team that wait at one daemon for one pool. */
    std::size_t maxWaitingPerTeam{1000};
    /** Waiting requests of a team that may hold a right, in addition to as many as are running. */
    std::uint32_t maxBackedWaiting{4};
    /** Minimum time between two messages of one sender about urgent changes. */
    std::chrono::milliseconds urgentInterval{1};
    /** Minimum time between two messages of one sender about other changes. */
    std::chrono::milliseconds routineInterval{10};
    /** Maximum time between two messages of one sender. */
    std::chrono::milliseconds heartbeatInterval{400};
    /** Time after which an unacknowledged message is sent again. */
    std::chrono::milliseconds retransmissionInterval{20};
    /** Time for which a daemon may start requests on its slots after it sent the last report that
        the dispatcher has acknowledged. */
    std::chrono::milliseconds leaseTime{2000};
    /** Time for which an executor may continue the requests of a daemon that has failed. */
    std::chrono::milliseconds orphanedRunTime{500};
    /** Time that a new dispatcher waits for the reports of all daemons before it assigns slots. */
    std::chrono::milliseconds initialReportTimeout{300};
    /** Time within which a team's lead or lag relative to its share is compensated. */
    std::chrono::milliseconds correctionWindow{250};
    /** Time after which a pool without upstreams refuses its requests. */
    std::chrono::milliseconds noUpstreamGrace{2000};
    /** Idle slots are assigned to daemons ahead of demand. */
    bool spreadsIdleSlots{true};
    /** A daemon reuses a slot without a new assignment. */
    bool reusesSlots{true};
    /** Circuit breakers limit the slots of failing upstreams, and failed slots cool down. */
    bool usesCircuitBreakers{true};
    /** Teams behind their share get more slots until they have caught up. */
    bool correctsShares{true};
};

} // namespace azurelb
