#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <span>
#include <vector>

namespace azurelb {

/** What the balance of one team's rights rests on. */
struct balance_request
{
    /** At most one report of each holder, by ascending holder. */
    std::span<const holder_report> reports{};
    /** Rights above a lowered limit; they go to the collector, which burns them. */
    right_count excess{};
    member collector{};
    /** Chooses who comes first when there are fewer rights than holders that want one. */
    std::size_t rotation{};
    /** True if only rights above the holder's load move, but for collected and first rights. */
    bool isIdleOnly{};
};

/**
 * Rights that each holder should have, in the order of the reports. If all loads fit into the
 * rights, each gets its load; otherwise every loaded holder gets one right, as long as there are
 * enough, and the rest goes by load.
 */
[[nodiscard]] std::vector<right_count> targetHoldings(const balance_request &request);

/**
 * Transfers that bring the holdings towards the targets. Idle rights stay where they are until
 * someone has need of them. A loaded holder gives only what exceeds its target by more than one
 * and more than a sixteenth, so that small changes of load move nothing, unless rights must be
 * collected or a holder that should have some has none.
 */
[[nodiscard]] std::vector<rights_transfer> balanceRights(const balance_request &request);

} // namespace azurelb
