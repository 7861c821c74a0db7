#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/fwd.hpp>
#include <azurelb/share/fwd.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Takes the teams' rights for all pools of one daemon and states their common demand. Requests
 * without a team need no right.
 */
class rights_broker
{
    struct team_demand
    {
        std::int64_t demand{};
        std::int64_t reported{};
    };

public:
    explicit rights_broker(limit_service &limits)
        : m_limits{limits}
    { }

    /** Adds a queue whose waiting requests may have to yield rights; it must outlive the ledger. */
    void addQueue(fair_queue &queue) { m_queues.push_back(&queue); }

    /** Takes a right for a request that waits. */
    [[nodiscard]] bool acquire(const team_name &team);

    /** Takes a right for a request that can start at once, if need be from one that waits. */
    [[nodiscard]] bool acquireToStart(const team_name &team);

    void release(const team_name &team);

    /** Changes the number of requests that wait without a right. */
    void addDemand(const team_name &team, std::int64_t change);

    /** States the changed demand to the limit service. */
    void flush();

private:
    limit_service &m_limits;
    std::vector<fair_queue *> m_queues{};
    std::unordered_map<team_name, team_demand> m_teams{};
    std::vector<team_name> m_changed{};
};

} // namespace azurelb
