#include <azurelb/share/dispatch_plan.hpp>

#include <azurelb/share/weighted_demand.hpp>

#include <algorithm>

namespace azurelb {

namespace {

/** Largest correction, as a part of the team's entitlement. */
constexpr double maxCorrectionRatio{0.5};
/** Largest lag or lead that is compensated, in seconds of the team's entitlement. */
constexpr double maxLagSeconds{0.5};
/** Part of the idle slots that is spread evenly; the rest is spread by recent use. */
constexpr double evenlySpreadRatio{0.5};
/** Factor by which recent use decays with each report. */
constexpr double useDecay{0.98};

[[nodiscard]] double toSeconds(std::chrono::microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

[[nodiscard]] double maxRunning(const team_load &load)
{
    return static_cast<double>(load.running) + load.backed;
}

} // namespace

dispatch_plan::team_state &dispatch_plan::findTeam(const team_name &team)
{
    const auto [found, isNew] = m_teams.try_emplace(team);
    if (isNew) {
        found->second.team = team;
        for (const team_share &each : m_shares) {
            if (each.team == team)
                found->second.share = each.share;
        }
    }
    return found->second;
}

void dispatch_plan::setShares(std::span<const team_share> shares)
{
    m_shares.assign(shares.begin(), shares.end());
    for (auto &[name, team] : m_teams)
        team.share = 1;
    for (const team_share &each : m_shares)
        findTeam(each.team).share = each.share;
}

void dispatch_plan::setLoad(size_type daemon, std::vector<team_load> teams)
{
    daemon_load &known = m_daemons[daemon];
    double running = 0;
    for (const team_load &load : teams) {
        running += load.running;
        const auto before =
            std::find_if(known.teams.begin(), known.teams.end(),
                         [&load](const team_load &each) { return each.team == load.team; });
        if (before != known.teams.end() && load.used > before->used)
            findTeam(load.team).unaccountedSeconds += toSeconds(load.used - before->used);
    }
    known.recentUse = useDecay * known.recentUse + (1 - useDecay) * running;
    known.teams = std::move(teams);
}

void dispatch_plan::removeDaemon(size_type daemon)
{
    m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(daemon));
}

void dispatch_plan::updateLags()
{
    double used = 0;
    double entitled = 0;
    for (const auto &[name, team] : m_teams) {
        used += team.unaccountedSeconds;
        entitled += team.entitledSlots;
    }
    for (auto &[name, team] : m_teams) {
        if (m_isContended && entitled > 0)
            team.lagSlotSeconds += used * team.entitledSlots / entitled - team.unaccountedSeconds;
        const double most = m_isContended ? maxLagSeconds * team.entitledSlots : 0;
        const double mostLag = team.backed > 0 ? most : 0;
        team.lagSlotSeconds = std::clamp(team.lagSlotSeconds, -most, mostLag);
        team.unaccountedSeconds = 0;
    }
}

void dispatch_plan::sumDemand()
{
    for (auto &[name, team] : m_teams) {
        team.demand = 0;
        team.backed = 0;
    }
    for (const daemon_load &daemon : m_daemons) {
        for (const team_load &load : daemon.teams) {
            team_state &team = findTeam(load.team);
            team.demand += maxRunning(load);
            team.backed += load.backed;
        }
    }
}

void dispatch_plan::divideTeams(double capacity)
{
    std::vector<weighted_demand> demands;
    std::vector<team_state *> teams;
    for (auto &[name, team] : m_teams) {
        teams.push_back(&team);
        demands.push_back({team.share, team.demand});
    }
    allocateMaxMinFair(demands, capacity);
    for (std::size_t index = 0; index < teams.size(); ++index)
        teams[index]->entitledSlots = demands[index].allocated;
    if (!m_isContended || !m_options.correctsShares) {
        for (team_state *team : teams)
            team->correctedSlots = team->entitledSlots;
        return;
    }
    const double window = std::chrono::duration<double>(m_options.correctionWindow).count();
    for (std::size_t index = 0; index < teams.size(); ++index) {
        const double most = maxCorrectionRatio * teams[index]->entitledSlots;
        const double change = std::clamp(teams[index]->lagSlotSeconds / window, -most, most);
        demands[index].weight = teams[index]->entitledSlots + change;
    }
    allocateMaxMinFair(demands, capacity);
    for (std::size_t index = 0; index < teams.size(); ++index)
        teams[index]->correctedSlots = demands[index].allocated;
}

void dispatch_plan::divideDaemons()
{
    std::unordered_map<team_name, std::vector<weighted_demand>> demands;
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        for (const team_load &load : m_daemons[index].teams) {
            std::vector<weighted_demand> &each = demands[load.team];
            each.resize(m_daemons.size());
            const double weight = static_cast<double>(load.running) + load.waiting;
            each[index] = {weight, maxRunning(load)};
        }
    }
    for (auto &[name, each] : demands) {
        allocateMaxMinFair(each, findTeam(name).correctedSlots);
        for (size_type index = 0; index < each.size(); ++index) {
            if (each[index].allocated <= 0)
                continue;
            m_targets[index].slots += each[index].allocated;
            m_targets[index].weights.push_back({name, each[index].allocated});
        }
    }
}

void dispatch_plan::spreadIdleSlots(double spare)
{
    double use = 0;
    double count = 0;
    for (const daemon_load &daemon : m_daemons) {
        use += daemon.getsIdleSlots ? daemon.recentUse : 0;
        count += daemon.getsIdleSlots ? 1 : 0;
    }
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        if (!m_daemons[index].getsIdleSlots)
            continue;
        const double byUse = use > 0 ? m_daemons[index].recentUse / use : 1 / count;
        m_targets[index].slots +=
            spare * (evenlySpreadRatio / count + (1 - evenlySpreadRatio) * byUse);
    }
}

void dispatch_plan::compute(double capacity)
{
    updateLags();
    sumDemand();
    double demand = 0;
    for (const auto &[name, team] : m_teams)
        demand += team.demand;
    m_isContended = demand > capacity;
    m_targets.assign(m_daemons.size(), {});
    divideTeams(capacity);
    divideDaemons();
    if (!m_isContended && m_options.spreadsIdleSlots && !m_daemons.empty())
        spreadIdleSlots(capacity - demand);
}

bool dispatch_plan::isWaiting(size_type daemon) const
{
    const auto &teams = m_daemons[daemon].teams;
    return std::any_of(teams.begin(), teams.end(),
                       [](const team_load &load) { return load.backed > 0; });
}

dispatch_plan::size_type dispatch_plan::waiting() const
{
    size_type sum = 0;
    for (const daemon_load &daemon : m_daemons) {
        for (const team_load &load : daemon.teams)
            sum += load.backed;
    }
    return sum;
}

} // namespace azurelb
