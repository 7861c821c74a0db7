#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/fwd.hpp>
#include <azurelb/metrics/fwd.hpp>

namespace azurelb {

/** Publishes the limits and rights of the teams as one daemon knows them. */
class limit_metrics
{
public:
    explicit limit_metrics(metrics &registry)
        : m_registry{registry}
    { }

    /** Sets the gauges of one team. */
    void publish(const team_name &team, const rights_status &status);

    /** Sets the number of rights that this daemon has given to others since its start. */
    void publishMoved(right_count moved);

private:
    void set(const char *metric, const char *help, const team_name &team, right_count value);

    metrics &m_registry;
    right_count m_moved{};
};

} // namespace azurelb
