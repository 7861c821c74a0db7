#include <azurelb/fleet/demand_tracker.hpp>

#include <cmath>

namespace azurelb {

namespace {

using real_seconds = std::chrono::duration<double>;

} // namespace

void demand_tracker::observe(std::span<const queue_demand> demand, time_point now,
                             std::chrono::milliseconds averagedOver)
{
    for (const queue_demand &each : demand) {
        const auto [found, isNew] = m_queues.try_emplace(each.queue.value());
        average &kept = found->second;
        const double load = each.arrivalsPerSecond * real_seconds{each.runTime}.count();
        if (isNew)
            kept = {{load, each.runTime}, now, now, false};
        const real_seconds passed = now - kept.last;
        const double weight = 1.0 - std::exp(-passed / real_seconds{averagedOver});
        kept.demand.load += weight * (load - kept.demand.load);
        if (each.runTime.count() > 0)
            kept.demand.runTime = each.runTime;
        kept.last = now;
        kept.isLasting = now - kept.first >= averagedOver;
    }
}

std::optional<lasting_demand> demand_tracker::find(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || !found->second.isLasting)
        return std::nullopt;
    return found->second.demand;
}

} // namespace azurelb
