#include <azurelb/share/rights_broker.hpp>

#include <azurelb/limits/limit_service.hpp>
#include <azurelb/share/fair_queue.hpp>

#include <algorithm>

namespace azurelb {

bool rights_broker::acquire(const team_name &team)
{
    return team.empty() || m_limits.acquire(team);
}

bool rights_broker::acquireToStart(const team_name &team)
{
    if (acquire(team))
        return true;
    return std::any_of(m_queues.begin(), m_queues.end(),
                       [&team](fair_queue *queue) { return queue->yieldRight(team); });
}

void rights_broker::release(const team_name &team)
{
    if (!team.empty())
        m_limits.release(team);
}

void rights_broker::addDemand(const team_name &team, std::int64_t change)
{
    if (change == 0 || team.empty())
        return;
    team_demand &changed = m_teams[team];
    if (changed.demand == changed.reported)
        m_changed.push_back(team);
    changed.demand += change;
}

void rights_broker::flush()
{
    std::vector<team_name> changed;
    changed.swap(m_changed);
    for (const team_name &team : changed) {
        team_demand &each = m_teams[team];
        if (each.demand == each.reported)
            continue;
        each.reported = each.demand;
        m_limits.setDemand(team, static_cast<std::uint32_t>(each.demand));
    }
}

} // namespace azurelb
