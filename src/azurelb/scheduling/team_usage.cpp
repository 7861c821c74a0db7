#include <azurelb/catalogue/team_entry.hpp>
#include <azurelb/scheduling/team_usage.hpp>

namespace azurelb {

namespace {

constexpr bool isWithin(std::int64_t amount, std::int64_t limit) noexcept
{
    return limit == 0 || amount <= limit;
}

} // namespace

void team_usage::add(const std::string &team, const resources &amount)
{
    m_running[team] += amount;
}

void team_usage::remove(const std::string &team, const resources &amount)
{
    m_running[team] -= amount;
}

resources team_usage::of(const std::string &team) const
{
    const auto found = m_running.find(team);
    return found == m_running.end() ? resources{} : found->second;
}

bool team_usage::admits(const team_entry *team, const resources &request) const
{
    if (!team)
        return true;
    const resources after = of(team->name) + request;
    return isWithin(after.cpu, team->limit.cpu) && isWithin(after.memory, team->limit.memory)
        && isWithin(after.accelerators, team->limit.accelerators);
}

} // namespace azurelb
