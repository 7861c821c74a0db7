#include <azurelb/share/dispatch_plan.hpp>

#include <azurelb/share/claim.hpp>

#include <algorithm>

namespace azurelb {

namespace {

/** Part of the present entitlement that a correction may add or take. */
constexpr double mostCorrection{0.5};
/** Longest lag or lead that is made good, in seconds of the team's entitlement. */
constexpr double longestLagSeconds{0.5};
/** Part of idle slots that is spread evenly; the others follow recent use. */
constexpr double evenPart{0.5};
/** Decay of recent use with each report. */
constexpr double useDecay{0.98};

[[nodiscard]] double toSeconds(std::chrono::microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

[[nodiscard]] double mostRunning(const team_load &load)
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
            findTeam(load.team).usedNow += toSeconds(load.used - before->used);
    }
    known.recentUse = useDecay * known.recentUse + (1 - useDecay) * running;
    known.teams = std::move(teams);
}

void dispatch_plan::erase(size_type daemon)
{
    m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(daemon));
}

void dispatch_plan::account()
{
    double used = 0;
    double entitled = 0;
    for (const auto &[name, team] : m_teams) {
        used += team.usedNow;
        entitled += team.entitled;
    }
    for (auto &[name, team] : m_teams) {
        if (m_isContended && entitled > 0)
            team.lag += used * team.entitled / entitled - team.usedNow;
        const double most = m_isContended ? longestLagSeconds * team.entitled : 0;
        const double mostLag = team.backed > 0 ? most : 0;
        team.lag = std::clamp(team.lag, -most, mostLag);
        team.usedNow = 0;
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
            team.demand += mostRunning(load);
            team.backed += load.backed;
        }
    }
}

void dispatch_plan::divideTeams(double capacity)
{
    std::vector<claim> claims;
    std::vector<team_state *> teams;
    for (auto &[name, team] : m_teams) {
        teams.push_back(&team);
        claims.push_back({team.share, team.demand});
    }
    divide(claims, capacity);
    for (std::size_t index = 0; index < teams.size(); ++index)
        teams[index]->entitled = claims[index].given;
    if (!m_isContended || !m_options.isCorrecting) {
        for (team_state *team : teams)
            team->corrected = team->entitled;
        return;
    }
    const double window = std::chrono::duration<double>(m_options.correction).count();
    for (std::size_t index = 0; index < teams.size(); ++index) {
        const double most = mostCorrection * teams[index]->entitled;
        const double change = std::clamp(teams[index]->lag / window, -most, most);
        claims[index].weight = teams[index]->entitled + change;
    }
    divide(claims, capacity);
    for (std::size_t index = 0; index < teams.size(); ++index)
        teams[index]->corrected = claims[index].given;
}

void dispatch_plan::divideDaemons()
{
    std::unordered_map<team_name, std::vector<claim>> claims;
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        for (const team_load &load : m_daemons[index].teams) {
            std::vector<claim> &each = claims[load.team];
            each.resize(m_daemons.size());
            const double weight = static_cast<double>(load.running) + load.waiting;
            each[index] = {weight, mostRunning(load)};
        }
    }
    for (auto &[name, each] : claims) {
        divide(each, findTeam(name).corrected);
        for (size_type index = 0; index < each.size(); ++index) {
            if (each[index].given <= 0)
                continue;
            m_targets[index].slots += each[index].given;
            m_targets[index].weights.push_back({name, each[index].given});
        }
    }
}

void dispatch_plan::spread(double spare)
{
    double use = 0;
    double count = 0;
    for (const daemon_load &daemon : m_daemons) {
        use += daemon.isSpare ? daemon.recentUse : 0;
        count += daemon.isSpare ? 1 : 0;
    }
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        if (!m_daemons[index].isSpare)
            continue;
        const double byUse = use > 0 ? m_daemons[index].recentUse / use : 1 / count;
        m_targets[index].slots += spare * (evenPart / count + (1 - evenPart) * byUse);
    }
}

void dispatch_plan::compute(double capacity)
{
    account();
    sumDemand();
    double demand = 0;
    for (const auto &[name, team] : m_teams)
        demand += team.demand;
    m_isContended = demand > capacity;
    m_targets.assign(m_daemons.size(), {});
    divideTeams(capacity);
    divideDaemons();
    if (!m_isContended && m_options.isSpreadingIdle && !m_daemons.empty())
        spread(capacity - demand);
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
