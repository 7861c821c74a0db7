#include <azurelb/share/right_ledger.hpp>

#include <azurelb/limits/limit_service.hpp>
#include <azurelb/share/fair_queue.hpp>

#include <algorithm>

namespace azurelb {

bool right_ledger::acquire(const team_name &team)
{
    return team.empty() || m_limits.acquire(team);
}

bool right_ledger::acquireToStart(const team_name &team)
{
    if (acquire(team))
        return true;
    return std::any_of(m_queues.begin(), m_queues.end(),
                       [&team](fair_queue *queue) { return queue->yieldRight(team); });
}

void right_ledger::release(const team_name &team)
{
    if (!team.empty())
        m_limits.release(team);
}

void right_ledger::addDemand(const team_name &team, std::int64_t change)
{
    if (change == 0 || team.empty())
        return;
    entry &changed = m_teams[team];
    if (changed.demand == changed.stated)
        m_changed.push_back(team);
    changed.demand += change;
}

void right_ledger::flush()
{
    std::vector<team_name> changed;
    changed.swap(m_changed);
    for (const team_name &team : changed) {
        entry &each = m_teams[team];
        if (each.demand == each.stated)
            continue;
        each.stated = each.demand;
        m_limits.setDemand(team, static_cast<std::uint32_t>(each.demand));
    }
}

} // namespace azurelb
