#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** Intervals and timeouts of the rights protocol. */
struct rights_options
{
    /** Upper bound on the run time of a request. After it, a lost daemon's work has ended. */
    duration maxRequestTime{std::chrono::seconds{60}};
    /** A daemon unresponsive for this long counts as replaced if another one uses its VM name. */
    duration replacementDelay{std::chrono::seconds{30}};
    /** Interval between calls of rights_protocol::tick(). */
    duration tickInterval{std::chrono::milliseconds{25}};
    /** Interval between messages to a peer about unacknowledged transfers or changes. */
    duration resendInterval{std::chrono::milliseconds{100}};
    /** Interval between reports while the load fluctuates without becoming or leaving zero. */
    duration loadReportInterval{std::chrono::milliseconds{500}};
    /** Interval between messages to a peer when nothing changes. */
    duration refreshInterval{std::chrono::seconds{1}};
    /** How long a daemon may use its rights after its last membership proof. */
    duration maxProofAge{std::chrono::seconds{10}};
    /** Older reports are ignored when rights are balanced. */
    duration maxReportAge{std::chrono::seconds{4}};
    /** Unfinished transfers of an order are dropped after this time. */
    duration orderLifetime{std::chrono::milliseconds{500}};
    /** Window of peak_usage, which covers one to two windows. */
    duration peakWindow{std::chrono::milliseconds{250}};
};

} // namespace azurelb
