#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/fwd.hpp>
#include <azurelb/share/fwd.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Acquires the teams' rights to run requests from the limit service, for all pools of one daemon,
 * and reports their total demand. Requests without a team need no right.
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

    /** Adds a queue whose waiting requests may have to yield rights; it must outlive this. */
    void addQueue(fair_queue &queue) { m_queues.push_back(&queue); }

    /** Acquires a right for a waiting request. */
    [[nodiscard]] bool acquire(const team_name &team);

    /** Acquires a right for a request that can start now, if necessary from a waiting one. */
    [[nodiscard]] bool acquireToStart(const team_name &team);

    void release(const team_name &team);

    /** Adds the change to the number of requests that wait without a right. */
    void addDemand(const team_name &team, std::int64_t change);

    /** Reports changed demand to the limit service. */
    void flush();

private:
    limit_service &m_limits;
    std::vector<fair_queue *> m_queues{};
    std::unordered_map<team_name, team_demand> m_teams{};
    std::vector<team_name> m_changed{};
};

} // namespace azurelb
