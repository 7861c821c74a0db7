#pragma once

#include <chrono>
#include <cstdint>

namespace azurelb {

/** Times and sizes of the daemon's copy of the documents. */
struct replica_options
{
    /** Entry VMs that the installation is meant to have; majorities are never counted over fewer.
     */
    std::uint32_t expectedMembers{9};
    /** Age of the newest confirmation from which no new work starts. */
    std::chrono::milliseconds maxConfirmationAge{2000};
    /** Age up to which a peer's heartbeat proves that it holds a revision. */
    std::chrono::milliseconds maxReportAge{2000};
    /** Time after the start before which peers cannot make this daemon count in a majority. */
    std::chrono::milliseconds minCatchUpTime{3000};
    /** Time between two reads of a daemon that reads the store for the others. */
    std::chrono::milliseconds readPeriod{500};
    /** Time between two reads of a daemon that has no peers though it should have. */
    std::chrono::milliseconds isolatedReadPeriod{1000};
    std::chrono::milliseconds readTimeout{1000};
    std::chrono::milliseconds commitTimeout{2000};
    /** Time between two attempts of one write. */
    std::chrono::milliseconds commitRetryDelay{200};
    /** Time after which an operator is told that a write's outcome is unknown. */
    std::chrono::milliseconds maxCommitTime{10'000};
    /** Time that a commit waits for a majority of the daemons to hold it. */
    std::chrono::milliseconds majorityTimeout{2000};
    /** Time that a commit held by a majority waits for the remaining fresh members. */
    std::chrono::milliseconds allMembersTimeout{300};
    /** Time after which a document is asked for again. */
    std::chrono::milliseconds fetchRetryDelay{200};
    /** Age at which audit records are deleted. */
    std::chrono::hours auditRetention{24 * 30};
    std::chrono::minutes auditTrimPeriod{60};
};

} // namespace azurelb
