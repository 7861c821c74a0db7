#include "simulated_fleet.hpp"

#include <algorithm>

namespace azurelb::testing {

team_statistics simulated_fleet::statistics(const team_name &team) const
{
    const auto found = m_statistics.find(team);
    if (found == m_statistics.end())
        return {};
    team_statistics known = found->second;
    const auto [first, last] = m_running.equal_range(team);
    for (auto each = first; each != last; ++each)
        known.usedSeconds += std::chrono::duration<double>(m_now - each->second).count();
    return known;
}

team_statistics simulated_fleet::total() const
{
    team_statistics sum;
    for (const auto &[team, known] : m_statistics) {
        const team_statistics each = statistics(team);
        sum.usedSeconds += each.usedSeconds;
        sum.requested += each.requested;
        sum.answered += each.answered;
        sum.failed += each.failed;
        sum.refused += each.refused;
        sum.refusedAtOnce += each.refusedAtOnce;
        sum.cancelled += each.cancelled;
    }
    return sum;
}

std::uint64_t simulated_fleet::attempts(std::size_t upstream) const
{
    return m_executors[upstream].attempts;
}

std::uint64_t simulated_fleet::attempts(const zone_name &zone) const
{
    std::uint64_t sum = 0;
    for (const executor &each : m_executors)
        sum += each.vm.zone == zone ? each.attempts : 0;
    return sum;
}

void simulated_fleet::resetPeaks()
{
    m_waits.clear();
    m_maxRunning = 0;
    m_idleSeconds = 0;
    m_maxIdleTime = {};
}

std::chrono::microseconds simulated_fleet::wait(double part)
{
    if (m_waits.empty())
        return {};
    std::sort(m_waits.begin(), m_waits.end());
    const auto last = static_cast<double>(m_waits.size() - 1);
    return m_waits[static_cast<std::size_t>(part * last)];
}

std::size_t simulated_fleet::dispatcherIndex() const
{
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(), [](const daemon &each) {
        return each.isAlive && each.ownDispatcher;
    });
    return static_cast<std::size_t>(found - m_daemons.begin());
}

const dispatcher *simulated_fleet::findDispatcher() const
{
    const std::size_t index = dispatcherIndex();
    return index < m_daemons.size() ? m_daemons[index].ownDispatcher.get() : nullptr;
}

std::size_t simulated_fleet::openRequests() const
{
    std::size_t sum = 0;
    for (const daemon &each : m_daemons) {
        for (const auto &[id, ticket] : each.tickets)
            sum += each.isAlive && !ticket.isEnded ? 1 : 0;
    }
    return sum;
}

bool simulated_fleet::areRightsBalanced()
{
    for (daemon &each : m_daemons) {
        if (!each.isAlive)
            continue;
        std::uint32_t taken = 0;
        for (const auto &[team, statistics] : m_statistics)
            taken += each.limits->taken(team);
        if (taken != each.client->slots().busy() + each.client->queue().backed())
            return false;
    }
    return true;
}

std::size_t simulated_fleet::held() const
{
    std::size_t sum = 0;
    for (const daemon &each : m_daemons)
        sum += each.isAlive ? each.client->slots().size() : 0;
    return sum;
}

std::size_t simulated_fleet::busy() const
{
    std::size_t sum = 0;
    for (const daemon &each : m_daemons)
        sum += each.isAlive ? each.client->slots().busy() : 0;
    return sum;
}

} // namespace azurelb::testing
