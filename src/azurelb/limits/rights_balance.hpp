#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <span>
#include <vector>

namespace azurelb {

/** Inputs for balancing one team's rights. */
struct balance_request
{
    /** At most one report per holder, sorted by holder. */
    std::span<const holder_report> reports{};
    /** Rights above a lowered limit. They are moved to the collector, which burns them. */
    right_count excess{};
    member collector{};
    /** Index of the first holder to get a right if there are fewer rights than loaded holders. */
    std::size_t rotation{};
    /**
     * True if a holder keeps rights up to its load. Has no effect if there is an excess or if a
     * holder with a target has no rights.
     */
    bool isIdleOnly{};
};

/**
 * Returns the target holdings of each holder, in the order of the reports. If there are enough
 * rights for all loads, each holder gets its load. Otherwise every loaded holder gets one right
 * while there are any, and the rest is divided in proportion to the load.
 */
[[nodiscard]] std::vector<right_count> targetHoldings(const balance_request &request);

/**
 * Returns transfers that move the holdings towards the targets. Idle rights stay with their holder
 * until another one needs them. A loaded holder gives rights only if it exceeds its target by more
 * than one and by more than a sixteenth, so that small changes of load cause no transfers. This
 * slack is not applied if there is an excess or if a holder with a target has no rights.
 */
[[nodiscard]] std::vector<rights_transfer> balanceRights(const balance_request &request);

} // namespace azurelb
