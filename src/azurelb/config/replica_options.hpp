#pragma once

#include <chrono>
#include <cstdint>

namespace azurelb {

/** Settings of the document replica. */
struct replica_options
{
    /** Configured number of entry VMs; majorities never refer to fewer. */
    std::uint32_t expectedMembers{9};
    /** Age of the newest confirmation beyond which no new work starts. */
    std::chrono::milliseconds maxConfirmationAge{2000};
    /** Age up to which a peer's heartbeat proves that it holds a revision. */
    std::chrono::milliseconds maxReportAge{2000};
    /**
     * Time after the start as of which a peer's confirmation lets this daemon count in majorities;
     * longer than maxReportAge, see confirmation_tracker.
     */
    std::chrono::milliseconds minCatchUpTime{3000};
    /** Time between two reads of a daemon that reads the store for the others. */
    std::chrono::milliseconds readPeriod{500};
    /** Time between two reads of a daemon without peers where more than one daemon is expected. */
    std::chrono::milliseconds isolatedReadPeriod{1000};
    std::chrono::milliseconds readTimeout{1000};
    std::chrono::milliseconds commitTimeout{2000};
    /** Time between two attempts of one write. */
    std::chrono::milliseconds commitRetryDelay{200};
    /**
     * Time after which a write that is not committed is reported to the operator as failed or, if
     * it may have taken effect, as unknown.
     */
    std::chrono::milliseconds maxCommitTime{10'000};
    /** Maximum time that a committed write waits until a majority of the daemons hold it. */
    std::chrono::milliseconds majorityTimeout{2000};
    /** Maximum time that a write held by a majority waits for the remaining fresh members. */
    std::chrono::milliseconds allMembersTimeout{300};
    /** Time after which a fetch of the same revisions is repeated. */
    std::chrono::milliseconds fetchRetryDelay{200};
    /** Age at which audit records are deleted. */
    std::chrono::hours auditRetention{24 * 30};
    std::chrono::minutes auditTrimPeriod{60};
};

} // namespace azurelb
