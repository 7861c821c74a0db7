#pragma once

#include <azurelb/share/share_options.hpp>
#include <azurelb/share/slot_assignment.hpp>
#include <azurelb/share/slot_report.hpp>

#include <span>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Works out how many slots of a pool each daemon should hold and how its teams share them. The
 * capacity is divided between the teams by weighted max-min fairness, corrected by what each has
 * got too much or too little of, and each team's part between the daemons by where it waits.
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
        /** Slot seconds that the team got less than it was entitled to. */
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

    /** What one daemon should hold. */
    struct target
    {
        double slots{};
        std::vector<team_weight> weights{};
    };

    explicit dispatch_plan(const share_options &options)
        : m_options{options}
    { }

    /** Replaces the shares; a team that is missing has 1. */
    void setShares(std::span<const team_share> shares);

    /** Replaces the load of the daemon of that index. */
    void setLoad(size_type daemon, std::vector<team_load> teams);

    /** Removes the daemon of that index; those above it move down by one. */
    void removeDaemon(size_type daemon);

    /** Whether the daemon gets idle slots ahead of demand. */
    void setGetsIdleSlots(size_type daemon, bool getsIdleSlots)
    {
        m_daemons[daemon].getsIdleSlots = getsIdleSlots;
    }

    /** Adds a daemon behind the others. */
    void addDaemon() { m_daemons.emplace_back(); }

    /** Works out the targets for that many slots. */
    void compute(double capacity);

    /** True if the requests that may run need more slots than there are. */
    [[nodiscard]] bool isContended() const noexcept { return m_isContended; }

    [[nodiscard]] const target &targetOf(size_type daemon) const { return m_targets[daemon]; }

    /** True if the daemon has waiting requests that may run. */
    [[nodiscard]] bool isWaiting(size_type daemon) const;

    /** Waiting requests over all daemons that may run. */
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
