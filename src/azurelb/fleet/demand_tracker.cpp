#include <azurelb/fleet/demand_tracker.hpp>

#include <cmath>

namespace azurelb {

namespace {

using real_seconds = std::chrono::duration<double>;

} // namespace

void demand_tracker::observe(std::span<const queue_demand> demand, time_point now,
                             std::chrono::milliseconds averagingTime)
{
    for (const queue_demand &each : demand) {
        const auto [found, isNew] = m_queues.try_emplace(each.queue.value());
        average &kept = found->second;
        const double loadErlangs = each.arrivalsPerSecond * real_seconds{each.runTime}.count();
        if (isNew)
            kept = {{loadErlangs, each.runTime}, now, now, false};
        const real_seconds passed = now - kept.last;
        const double weight = 1.0 - std::exp(-passed / real_seconds{averagingTime});
        kept.demand.loadErlangs += weight * (loadErlangs - kept.demand.loadErlangs);
        if (each.runTime.count() > 0)
            kept.demand.runTime = each.runTime;
        kept.last = now;
        kept.hasFullWindow = now - kept.first >= averagingTime;
    }
}

std::optional<smoothed_demand> demand_tracker::find(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || !found->second.hasFullWindow)
        return std::nullopt;
    return found->second.demand;
}

} // namespace azurelb
