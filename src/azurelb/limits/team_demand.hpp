#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/peak_usage.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <azurelb/core/identifier.hpp>

#include <vector>

namespace azurelb {

/** What one daemon wants of a team's rights and owes to others. */
struct team_demand
{
    /** Requests that wait without a right. */
    right_count waiting{};
    peak_usage peak{};
    /** Orders carried out; the balancer names it so that each order is executed once. */
    std::uint64_t sequence{};
    /** Ordered transfers of rights that were in use; paid as they get free. */
    std::vector<rights_transfer> pending{};
    time_point pendingSince{};
    /** The last report, when it went out and to which daemon. */
    holder_report reported{};
    time_point reportedAt{};
    /** Time to the next report if nothing changes; it grows with each, as long as requests wait. */
    duration reportInterval{};
    member reportedTo{};

    [[nodiscard]] right_count pendingCount() const noexcept
    {
        right_count sum = 0;
        for (const rights_transfer &each : pending)
            sum += each.count;
        return sum;
    }

    /** Recent use and waiting requests, with headroom of an eighth for the next ones. */
    [[nodiscard]] right_count load() const noexcept
    {
        constexpr right_count headroomDivisor{8};
        const right_count used = peak.value();
        const right_count headroom = used > 0 ? 1 + used / headroomDivisor : 0;
        return used + waiting + headroom;
    }
};

} // namespace azurelb
