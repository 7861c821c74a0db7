#pragma once

#include <azurelb/share/share_options.hpp>
#include <azurelb/share/slot_assignment.hpp>
#include <azurelb/share/slot_report.hpp>

#include <span>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Computes how many slots of a pool each daemon should hold and how its teams share them. The
 * capacity is divided among the teams by weighted max-min fairness, corrected by how far each is
 * ahead of or behind its share. A team's part is divided among the daemons by its load there.
 */
class dispatch_plan
{
    struct team_state
    {
        team_name team{};
        double share{1};
        double demand{};
        double backed{};
        double entitledSlots{};
        double correctedSlots{};
        /** Slot time that the team is behind its entitlement; negative if it is ahead. */
        double lagSlotSeconds{};
        double unaccountedSeconds{};
    };

    struct daemon_load
    {
        std::vector<team_load> teams{};
        double recentUse{};
        bool getsIdleSlots{true};
    };

    [[nodiscard]] team_state &findTeam(const team_name &team);
    void updateLags();
    void sumDemand();
    void divideTeams(double capacity);
    void divideDaemons();
    void spreadIdleSlots(double spare);

public:
    using size_type = std::size_t;

    /** Slots that one daemon should hold, and the weights of its teams. */
    struct target
    {
        double slots{};
        std::vector<team_weight> weights{};
    };

    explicit dispatch_plan(const share_options &options)
        : m_options{options}
    { }

    /** Replaces the shares; a team that is not listed has a share of 1. */
    void setShares(std::span<const team_share> shares);

    /** Replaces the load of the daemon at the index. */
    void setLoad(size_type daemon, std::vector<team_load> teams);

    /** Removes the daemon at the index; the indices of those after it decrease by one. */
    void removeDaemon(size_type daemon);

    /** Sets whether the daemon gets idle slots ahead of demand. */
    void setGetsIdleSlots(size_type daemon, bool getsIdleSlots)
    {
        m_daemons[daemon].getsIdleSlots = getsIdleSlots;
    }

    /** Appends a daemon without load. */
    void addDaemon() { m_daemons.emplace_back(); }

    /** Computes the targets of all daemons for a capacity in slots. */
    void compute(double capacity);

    /** Returns true if the requests that may run need more slots than the capacity. */
    [[nodiscard]] bool isContended() const noexcept { return m_isContended; }

    [[nodiscard]] const target &targetOf(size_type daemon) const { return m_targets[daemon]; }

    /** Returns true if waiting requests of the daemon hold a right to run. */
    [[nodiscard]] bool isWaiting(size_type daemon) const;

    /** Returns the number of waiting requests that hold a right, over all daemons. */
    [[nodiscard]] size_type waiting() const;

private:
    const share_options &m_options;
    std::vector<team_share> m_shares{};
    std::unordered_map<team_name, team_state> m_teams{};
    std::vector<daemon_load> m_daemons{};
    std::vector<target> m_targets{};
    bool m_isContended{false};
};

} // namespace azurelb
