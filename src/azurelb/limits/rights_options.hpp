#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/limits/fwd.hpp>

namespace azurelb {

/** Times of the rights protocol. */
struct rights_options
{
    /** Upper bound on the run time of a request: a lost daemon's work has ended after it. */
    duration maxRequestTime{std::chrono::seconds{60}};
    /** A silent daemon whose VM's name another one uses for so long counts as replaced. */
    duration replacementDelay{std::chrono::seconds{30}};
    /** Between two ticks of the ledger. */
    duration tickInterval{std::chrono::milliseconds{25}};
    /** Between two messages to one peer about something unacknowledged or changing. */
    duration resendInterval{std::chrono::milliseconds{100}};
    /** Between two reports of a load that only goes up and down. */
    duration loadReportInterval{std::chrono::milliseconds{500}};
    /** Between two messages to one peer when nothing changes. */
    duration refreshInterval{std::chrono::seconds{1}};
    /** How long a daemon uses its rights after it last proved that nobody holds it for gone. */
    duration maxProofAge{std::chrono::seconds{10}};
    /** A report older than this is not balanced. */
    duration maxReportAge{std::chrono::seconds{4}};
    /** An order that its sender does not renew lapses. */
    duration orderLifetime{std::chrono::milliseconds{500}};
    /** Half of the time for which the peak of use is remembered. */
    duration peakWindow{std::chrono::milliseconds{250}};
};

} // namespace azurelb
