#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/peak_usage.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <azurelb/core/identifier.hpp>

#include <vector>

namespace azurelb {

/** One daemon's demand for a team's rights, and the transfers it still has to make. */
struct team_demand
{
    /** Requests that wait for a right. */
    right_count waiting{};
    peak_usage peak{};
    /** Number of executed orders. An order names it, so that each is executed at most once. */
    std::uint64_t sequence{};
    /** Ordered transfers of rights that are still in use; made as requests end. */
    std::vector<rights_transfer> pending{};
    time_point pendingSince{};
    /** The last report, when it was sent, and its receiver. */
    holder_report reported{};
    time_point reportedAt{};
    /** Time to the next report without changes; doubles each time up to the refresh interval. */
    duration reportInterval{};
    member reportedTo{};

    [[nodiscard]] right_count pendingCount() const noexcept
    {
        right_count sum = 0;
        for (const rights_transfer &each : pending)
            sum += each.count;
        return sum;
    }

    /** Peak of recent use plus waiting requests, with an eighth of headroom for new requests. */
    [[nodiscard]] right_count load() const noexcept
    {
        constexpr right_count headroomDivisor{8};
        const right_count used = peak.value();
        const right_count headroom = used > 0 ? 1 + used / headroomDivisor : 0;
        return used + waiting + headroom;
    }
};

} // namespace azurelb
