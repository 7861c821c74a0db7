#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/activity/queue_totals.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/queue_demand.hpp>
#include <azurelb/fleet/vm_observation.hpp>
#include <azurelb/membership/member.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace azurelb {

namespace wire {
class activity_report;
} // namespace wire

/** Aggregates the daemons' activity reports for the planner. */
class activity_collector
{
public:
    /** Reports older than this count as missing. */
    static constexpr std::chrono::seconds maxReportAge{5};

    /**
     * Stores a daemon's report, which describes the daemon at `askedAt` or later. A report that was
     * requested before the stored one is ignored.
     */
    void update(const member &from, const wire::activity_report &report, time_point askedAt);

    /** Removes daemons that are no longer members. */
    void retain(std::span<const member> members);

    /**
     * Number of requests running on the VM, summed over the members, at the returned `at` or later.
     * The number is absent if the report of a member is missing.
     */
    [[nodiscard]] vm_observation observe(const vm_id &vm, std::span<const member> members,
                                         time_point now) const;

    /** Demand of each queue since the last call; empty on the first call. */
    [[nodiscard]] std::vector<queue_demand> takeDemand(time_point now);

private:
    using totals_map = std::map<queue_name, queue_totals>;

    struct daemon_activity
    {
        time_point askedAt{};
        std::map<vm_id, std::uint32_t> running{};
        totals_map queues{};
        /** Totals that takeDemand() has counted already. */
        totals_map countedTotals{};
    };

    std::map<member, daemon_activity> m_daemons{};
    time_point m_demandTakenAt{};
};

} // namespace azurelb
