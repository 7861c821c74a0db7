#include <azurelb/limits/limit_metrics.hpp>

#include <azurelb/limits/rights_status.hpp>
#include <azurelb/metrics/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace azurelb {

void limit_metrics::publish(const team_name &team, const rights_status &status)
{
    set("azurelb_limit", "Upper limit of the team over the whole fleet.", team, status.limit);
    set("azurelb_limit_in_force", "1 if the limit holds over the whole fleet.", team,
        status.inForce ? 1 : 0);
    set("azurelb_rights_minted", "Rights that exist in the fleet.", team, status.minted);
    set("azurelb_rights_held", "Rights that this daemon holds.", team, status.held);
    set("azurelb_rights_in_use", "Running requests of the team on this daemon.", team,
        status.inUse);
}

void limit_metrics::publishMoved(right_count moved)
{
    auto &counter =
        m_registry.counter("azurelb_rights_moved_total", "Rights given to other daemons.");
    counter.Increment(static_cast<double>(moved - m_moved));
    m_moved = moved;
}

void limit_metrics::set(const char *metric, const char *help, const team_name &team,
                        right_count value)
{
    auto &gauge = m_registry.gauge(metric, help, {{"team", team.value()}});
    gauge.Set(static_cast<double>(value));
}

} // namespace azurelb
