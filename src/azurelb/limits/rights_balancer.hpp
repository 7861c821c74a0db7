#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/rights_options.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <azurelb/wire/limits.pb.h>

#include <map>
#include <vector>

namespace azurelb {

/**
 * Decides which holders give rights to which, for the teams that this daemon balances. It works on
 * reports and holds no rights: a wrong decision or a second balancer may cause needless transfers
 * but never creates a right.
 */
class rights_balancer
{
public:
    /** Orders, keyed by the holder that executes them. */
    using orders = std::map<member, wire::rights_order>;

    void addReport(const holder_report &report, const team_name &team, time_point now);

    /** Removes the reports of a team that another daemon balances now. */
    void forget(const team_name &team) { m_teams.erase(team); }

    /** Teams with a report. */
    [[nodiscard]] std::vector<team_name> teams() const;

    /**
     * Returns the orders due for a team. Empty within the resend interval after the last orders,
     * whose effect the reports do not show yet. Idle rights are moved at any time, rights within
     * the load of their holder once in a refresh interval.
     */
    [[nodiscard]] orders balance(const team_name &team, right_count excess, const member &collector,
                                 const std::vector<member> &fresh, const rights_options &options,
                                 time_point now);

private:
    struct received_report
    {
        holder_report report{};
        time_point receivedAt{};
    };

    struct team_state
    {
        std::map<member, received_report> reports{};
        time_point orderedAt{};
        /** Number of full balances, which also move rights that are not idle. */
        std::size_t rotation{};
        time_point balancedAt{};
    };

    std::map<team_name, team_state> m_teams{};
};

} // namespace azurelb
