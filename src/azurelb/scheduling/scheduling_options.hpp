#pragma once

#include <azurelb/scheduling/queue_order.hpp>

#include <chrono>
#include <cstddef>

namespace azurelb {

/** Options of the scheduler. The deployment's settings replace the defaults. */
struct scheduling_options
{
    /** Term of the lease under which the runs of an executor continue. Long enough for a new owner
        to renew it after a failover (1.5 s of lease in the store and the first contact), short
        enough that runs on a lost executor soon restart elsewhere. */
    std::chrono::milliseconds leaseTerm{3000};
    /** Longest lease that an executor grants; from the deployment's settings. */
    std::chrono::milliseconds maxLeaseTerm{6000};
    /** Longest time that an executor takes to stop a run; from the deployment's settings. */
    std::chrono::milliseconds stopGrace{900};
    /** Time after the last confirmed renewal of its lease during which an owner still gives
        orders. Exceeds the usual store outage of 4.5 s. */
    std::chrono::milliseconds maxTimeSinceRenewal{6000};
    /** Term of the owner's lease in the store. */
    std::chrono::milliseconds ownerLeaseTerm{1500};
    /** Added to every upper bound on an executor's lease, to allow for timer and network delays. */
    std::chrono::milliseconds leaseMargin{150};
    /** A run whose reported progress has not changed for this time is stopped and restarted, unless
        it is expected to take over 100 s. Three times the report interval of a busy executor. */
    std::chrono::milliseconds stallTimeout{3000};
    /** Time for which an executor gets no new runs after consecutive failures. */
    std::chrono::milliseconds suspensionTime{2000};
    /** Consecutive failures after which an executor is suspended. A single failure may be the
        task's own: callers' programs fail in up to 3 % of runs. */
    unsigned suspendAfterFailures{2};
    /** Number of ended runs that an executor lists at a time. */
    std::size_t maxListedEnds{500};
    queue_order order{queue_order::newest_first};
};

/** Time without new runs for an executor that may have no free resources: its next report takes
    up to this long. */
inline constexpr std::chrono::milliseconds noRoomBackoff{200};

/** Factor by which a lease may last longer in local time: an executor's clock may be slow by 2 %.
 */
inline constexpr double slowClockFactor{1.0 / 0.98};

} // namespace azurelb
