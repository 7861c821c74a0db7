#include <azurelb/share/fair_queue.hpp>

#include <azurelb/share/rights_broker.hpp>
#include <azurelb/share/slot_assignment.hpp>

#include <algorithm>

namespace azurelb {

namespace {

constexpr double unassignedTeamWeight{0.25};
constexpr double minWeight{0.01};
/** Requests of a team that are checked when the first ones cannot run on the idle slots. */
constexpr std::size_t maxTriedPerTeam{8};
/** Divisor of a new run time's difference in the moving average. */
constexpr int smoothingDivisor{16};

[[nodiscard]] double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void updateMean(duration &mean, duration run)
{
    mean = mean == duration{} ? run : mean + (run - mean) / smoothingDivisor;
}

} // namespace

fair_queue::fair_queue(const share_options &options, rights_broker &rights)
    : m_options{options}
    , m_rights{rights}
{
    m_rights.addQueue(*this);
}

fair_queue::~fair_queue() = default;

fair_queue::team_state &fair_queue::findTeam(const team_name &team)
{
    std::unique_ptr<team_state> &found = m_teams[team];
    if (!found) {
        found = std::make_unique<team_state>();
        found->team = team;
    }
    return *found;
}

double fair_queue::startTag(const team_state &team, time_point now) noexcept
{
    const duration elapsed = team.running * now.time_since_epoch() - team.startTimeSum;
    const duration expected = elapsed + team.running * team.meanRun;
    return team.virtualTime + toSeconds(expected) / team.weight;
}

bool fair_queue::emplace(ticket_id id, const slot_request &wanted, time_point now)
{
    team_state &team = findTeam(wanted.team);
    if (team.waiting.size() >= m_options.maxWaitingPerTeam)
        return false;
    if (team.waiting.empty()) {
        const double behind = m_virtualTime - startTag(team, now);
        team.virtualTime += std::max(behind, 0.0);
    }
    team.waiting.push_back({id, wanted.deadline, now, wanted.avoid});
    m_index.emplace(id, position{&team, std::prev(team.waiting.end())});
    balanceRights(team);
    return true;
}

void fair_queue::erase(team_state &team, std::list<ticket>::iterator at)
{
    m_index.erase(at->id);
    team.waiting.erase(at);
}

bool fair_queue::erase(ticket_id id)
{
    const auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    const position where = found->second;
    erase(*where.team, where.at);
    balanceRights(*where.team);
    return true;
}

void fair_queue::balanceRights(team_state &team)
{
    const std::size_t most = team.running + m_options.maxBackedWaiting;
    while (team.backed > team.waiting.size()) {
        --team.backed;
        m_rights.release(team.team);
    }
    while (team.backed < std::min(most, team.waiting.size()) && m_rights.acquire(team.team))
        ++team.backed;
    const std::size_t wanted = std::min(most, team.waiting.size());
    const auto demand =
        static_cast<std::int64_t>(wanted > team.backed ? team.waiting.size() - team.backed : 0);
    m_rights.addDemand(team.team, demand - team.demand);
    team.demand = demand;
}

void fair_queue::acquireRights()
{
    for (auto &[name, team] : m_teams)
        balanceRights(*team);
}

bool fair_queue::yieldRight(const team_name &team)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || found->second->backed == 0)
        return false;
    --found->second->backed;
    return true;
}

bool fair_queue::takeRight(team_state &team)
{
    if (team.backed > 0) {
        --team.backed;
        return true;
    }
    return m_rights.acquireToStart(team.team);
}

bool fair_queue::isBefore(const team_state *left, const team_state *right) noexcept
{
    return left->tag < right->tag || (left->tag == right->tag && left->team < right->team);
}

std::optional<fair_queue::started_request> fair_queue::pop(const predicate &canRun, time_point now)
{
    m_candidates.clear();
    for (auto &[name, team] : m_teams) {
        if (team->waiting.empty())
            continue;
        team->tag = startTag(*team, now);
        m_candidates.push_back(team.get());
    }
    std::sort(m_candidates.begin(), m_candidates.end(), isBefore);
    for (team_state *team : m_candidates) {
        const auto end = team->waiting.size() > maxTriedPerTeam
            ? std::next(team->waiting.begin(), maxTriedPerTeam)
            : team->waiting.end();
        const auto found =
            std::find_if(team->waiting.begin(), end, [&canRun, now](const ticket &each) {
                return each.deadline > now && canRun(each.avoid);
            });
        if (found == end || !takeRight(*team))
            continue;
        started_request next{found->id, team->team, found->deadline};
        m_virtualTime = std::max(m_virtualTime, team->tag);
        ++team->running;
        team->startTimeSum += now.time_since_epoch();
        erase(*team, found);
        balanceRights(*team);
        return next;
    }
    return std::nullopt;
}

void fair_queue::finish(const team_name &name, duration run, time_point startedAt)
{
    team_state &team = findTeam(name);
    team.virtualTime += toSeconds(run) / team.weight;
    team.used += run;
    team.startTimeSum -= startedAt.time_since_epoch();
    --team.running;
    updateMean(team.meanRun, run);
    updateMean(m_meanRun, run);
    m_rights.release(name);
    balanceRights(team);
}

void fair_queue::setWeights(std::span<const team_weight> weights)
{
    for (auto &[name, team] : m_teams)
        team->weight = unassignedTeamWeight;
    for (const team_weight &each : weights) {
        const auto found = m_teams.find(each.team);
        if (found != m_teams.end())
            found->second->weight = std::max(each.weight, minWeight);
    }
}

std::vector<ticket_id> fair_queue::expire(time_point now)
{
    std::vector<ticket_id> late;
    for (auto &[name, team] : m_teams) {
        const duration neededRun = team->meanRun + team->meanRun / 4;
        for (const ticket &each : team->waiting) {
            const duration needed = std::min(neededRun, (each.deadline - each.enqueuedAt) / 2);
            if (each.deadline <= now + needed)
                late.push_back(each.id);
        }
    }
    for (const ticket_id id : late)
        erase(id);
    return late;
}

std::vector<ticket_id> fair_queue::clear()
{
    std::vector<ticket_id> all;
    for (const auto &[id, where] : m_index)
        all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const ticket_id id : all)
        erase(id);
    return all;
}

duration fair_queue::expectedWait(const team_name &name) const
{
    const auto found = m_teams.find(name);
    if (found == m_teams.end())
        return {};
    const team_state &team = *found->second;
    const double slots = std::max<double>(team.weight, team.running);
    const double seconds = toSeconds(team.meanRun) * static_cast<double>(team.waiting.size());
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds / slots));
}

std::vector<team_load> fair_queue::loads(time_point now) const
{
    std::vector<team_load> all;
    for (const auto &[name, team] : m_teams) {
        const duration open = team->running * now.time_since_epoch() - team->startTimeSum;
        team_load load;
        load.team = name;
        load.backed = team->backed;
        load.waiting = static_cast<std::uint32_t>(team->waiting.size());
        load.running = team->running;
        load.used = std::chrono::duration_cast<std::chrono::microseconds>(team->used + open);
        all.push_back(std::move(load));
    }
    return all;
}

const std::set<vm_id> *fair_queue::firstAvoided() const
{
    for (const auto &[name, team] : m_teams) {
        if (team->backed > 0 && !team->waiting.front().avoid.empty())
            return &team->waiting.front().avoid;
    }
    return nullptr;
}

fair_queue::size_type fair_queue::backed() const noexcept
{
    size_type sum = 0;
    for (const auto &[name, team] : m_teams)
        sum += team->backed;
    return sum;
}

} // namespace azurelb
