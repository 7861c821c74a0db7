#pragma once

#include <azurelb/scheduling/queue_order.hpp>

#include <chrono>

namespace azurelb {

/** Times that the scheduler works with. The deployment's settings replace the defaults. */
struct scheduling_options
{
    /** Term of the lease that keeps the runs of an executor alive. Long enough for a new owner to
        renew it after a failover (1.5 s of lease in the store and the first contact), short
        enough that runs on a lost executor soon start elsewhere. */
    std::chrono::milliseconds leaseTerm{3000};
    /** Longest that an executor takes to stop a run; from the deployment's settings. */
    std::chrono::milliseconds stopGrace{900};
    /** Longest after its last confirmed renewal that an owner still gives orders: outlasts the
        usual store outage of 4.5 s. */
    std::chrono::milliseconds maxTimeSinceRenewal{6000};
    /** Term of the owner's lease in the store. */
    std::chrono::milliseconds ownerLeaseTerm{1500};
    /** Added to every bound on an executor's lease, for delays of timers and of the network. */
    std::chrono::milliseconds leaseMargin{150};
    /** A run whose reported progress stands still for this long is started elsewhere: three times
        the interval of reports from a busy executor. */
    std::chrono::milliseconds stallTimeout{3000};
    /** An executor that failed several runs in a row gets its next run after this time. */
    std::chrono::milliseconds suspensionTime{2000};
    /** Ends by failure in a row after which an executor is suspended: one may be the task's own
        fault, which the callers' programs show in up to 3 % of runs. */
    unsigned suspendAfterFailures{2};
    queue_order order{queue_order::newest_first};
};

/** An executor's clock may be slow by 2 %: its lease lasts up to this much longer than by ours. */
inline constexpr double slowClockFactor{1.0 / 0.98};

} // namespace azurelb
