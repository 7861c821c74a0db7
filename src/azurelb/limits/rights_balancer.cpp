#include <azurelb/limits/rights_balancer.hpp>

#include <azurelb/limits/rights_balance.hpp>
#include <azurelb/limits/rights_wire.hpp>

namespace azurelb {

namespace {

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

void rights_balancer::addReport(const holder_report &report, const team_name &team, time_point now)
{
    received_report &known = m_teams[team].reports[report.holder];
    if (report.sequence < known.report.sequence)
        return;
    known.report = report;
    known.receivedAt = now;
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
                                                 const rights_options &options, time_point now)
{
    team_state &state = m_teams[team];
    if (now - state.orderedAt < options.resendInterval)
        return {};
    std::erase_if(state.reports, [&](const auto &entry) {
        return now - entry.second.receivedAt > options.maxReportAge;
    });
    std::vector<holder_report> reports;
    std::map<member, std::uint64_t> sequences;
    for (const member &holder : fresh) {
        const auto found = state.reports.find(holder);
        const bool known = found != state.reports.end();
        reports.push_back(known ? found->second.report : holder_report{holder});
        sequences[holder] = reports.back().sequence;
    }
    const bool isFull = now - state.balancedAt >= options.refreshInterval;
    if (isFull) {
        state.balancedAt = now;
        ++state.rotation;
    }
    const auto transfers = balanceRights({reports, excess, collector, state.rotation, !isFull});
    if (!transfers.empty())
        state.orderedAt = now;
    return toOrders(team, transfers, sequences);
}

} // namespace azurelb
