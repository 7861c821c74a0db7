#pragma once

#include <azurelb/limits/holder_report.hpp>
#include <azurelb/limits/rights_options.hpp>
#include <azurelb/limits/rights_transfer.hpp>

#include <azurelb/wire/limits.pb.h>

#include <map>
#include <vector>

namespace azurelb {

/**
 * Decides for the teams that this daemon balances which holder shall give rights to which. It
 * knows only reports and holds no rights: a wrong or doubled balancer may move rights needlessly
 * but never makes one.
 */
class rights_balancer
{
public:
    /** Orders by the holder that shall carry them out. */
    using orders = std::map<member, wire::rights_order>;

    void addReport(const holder_report &report, const team_name &team, time_point now);

    /** Drops the reports of a team that another daemon balances. */
    void forget(const team_name &team) { m_teams.erase(team); }

    /** Teams with a report. */
    [[nodiscard]] std::vector<team_name> teams() const;

    /**
     * The orders due for a team. Empty if the last ones are so young that the reports do not show
     * their effect yet. Idle rights move at once, rights that their holders want too once in a
     * refresh interval.
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
        /** Counts full balances, which move also rights that are not idle. */
        std::size_t rotation{};
        time_point balancedAt{};
    };

    std::map<team_name, team_state> m_teams{};
};

} // namespace azurelb
