#include <azurelb/limits/rights_balancer.hpp>

#include <azurelb/limits/rights_balance.hpp>
#include <azurelb/limits/rights_wire.hpp>

namespace azurelb {

namespace {

/** How long a holder keeps the only right of a team before another one's turn comes. */
constexpr std::chrono::seconds rotationPeriod{1};

rights_balancer::orders toOrders(const team_name &team,
                                 const std::vector<rights_transfer> &transfers,
                                 const std::map<member, std::uint64_t> &sequences)
{
    rights_balancer::orders result;
    for (const rights_transfer &each : transfers) {
        wire::rights_order &order = result[each.from];
        order.set_team(team.value());
        order.set_sequence(sequences.at(each.from));
        wire::rights_part &part = *order.add_parts();
        internal::toWire(each.to, *part.mutable_to());
        part.set_count(static_cast<std::uint64_t>(each.count));
    }
    return result;
}

} // namespace

void rights_balancer::hear(const holder_report &report, const team_name &team, time_point now)
{
    heard_report &known = m_teams[team].reports[report.holder];
    if (report.sequence < known.report.sequence)
        return;
    known.report = report;
    known.at = now;
}

std::vector<team_name> rights_balancer::teams() const
{
    std::vector<team_name> names;
    names.reserve(m_teams.size());
    for (const auto &[team, state] : m_teams)
        names.push_back(team);
    return names;
}

rights_balancer::orders rights_balancer::balance(const team_name &team, right_count excess,
                                                 const member &collector,
                                                 const std::vector<member> &fresh,
                                                 duration interval, duration reportAge,
                                                 time_point now)
{
    team_state &state = m_teams[team];
    if (now - state.orderedAt < interval)
        return {};
    rotate(state, now);
    std::erase_if(state.reports,
                  [&](const auto &entry) { return now - entry.second.at > reportAge; });
    std::vector<holder_report> reports;
    std::map<member, std::uint64_t> sequences;
    for (const member &holder : fresh) {
        const auto found = state.reports.find(holder);
        const bool known = found != state.reports.end();
        reports.push_back(known ? found->second.report : holder_report{holder});
        sequences[holder] = reports.back().sequence;
    }
    const auto transfers = balanceRights({reports, excess, collector, state.rotation});
    if (!transfers.empty())
        state.orderedAt = now;
    return toOrders(team, transfers, sequences);
}

void rights_balancer::rotate(team_state &state, time_point now)
{
    if (now - state.rotatedAt < rotationPeriod)
        return;
    state.rotatedAt = now;
    ++state.rotation;
}

} // namespace azurelb
