#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/share/slot_grant.hpp>

#include <chrono>
#include <map>

namespace prometheus {
class Counter;
class Gauge;
} // namespace prometheus

namespace azurelb {

/** Metrics that one daemon exports about the dispatching of one pool. */
class share_metrics
{
public:
    share_metrics(metrics &registry, const pool_name &pool);

    /** Counts a grant, or a refusal by its reason. */
    void count(const slot_grant &grant);

    /** Counts a change of the daemon that dispatches the pool. */
    void countDispatcherChange();

    /** Sets this daemon's waiting requests and its held and busy slots. */
    void setClient(std::size_t waiting, std::size_t held, std::size_t busy);

    /** Sets the slot time that the team has used at this daemon since its start. */
    void setUsedSlotTime(const team_name &team, std::chrono::microseconds used);

    /** Sets the dispatcher's state of the pool; all 0 on a daemon that does not dispatch it. */
    void setDispatcher(std::size_t held, std::size_t capacity, std::size_t openCircuits);

private:
    metrics &m_registry;
    std::string m_pool;
    prometheus::Counter &m_granted;
    prometheus::Counter &m_moves;
    prometheus::Gauge &m_waiting;
    prometheus::Gauge &m_held;
    prometheus::Gauge &m_busy;
    prometheus::Gauge &m_assigned;
    prometheus::Gauge &m_capacity;
    prometheus::Gauge &m_openCircuits;
    std::map<slot_refusal, prometheus::Counter *> m_refused{};
    std::map<team_name, prometheus::Gauge *> m_used{};
};

} // namespace azurelb
