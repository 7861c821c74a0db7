#pragma once

#include <azurelb/share/share_options.hpp>
#include <azurelb/share/slot_report.hpp>
#include <azurelb/share/slot_request.hpp>

#include <list>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * The requests that wait at one daemon for one pool, in order of arrival for each team, and
 * start-time fair queueing between the teams (Goyal, Vin and Cheng, 1996) by slot time used. The
 * weights come from the dispatcher, so that the daemons together keep the shares of the fleet.
 */
class fair_queue
{
    struct ticket
    {
        ticket_id id{};
        time_point deadline{};
        /** When the request came to wait. */
        time_point enqueuedAt{};
        std::set<vm_id> avoid{};
    };

    struct team_state
    {
        team_name team{};
        std::list<ticket> waiting{};
        std::uint32_t backed{};
        std::uint32_t running{};
        std::int64_t demand{};
        double weight{1};
        /** Slot time of ended requests by weight. */
        double virtualTime{};
        double tag{};
        duration used{};
        duration startTimeSum{};
        duration meanRun{};
    };

    struct position
    {
        team_state *team{};
        std::list<ticket>::iterator at{};
    };

    [[nodiscard]] team_state &findTeam(const team_name &team);
    /** Virtual time with what the running requests are expected to use, were they memoryless. */
    [[nodiscard]] static double startTag(const team_state &team, time_point now) noexcept;
    [[nodiscard]] static bool isBefore(const team_state *left, const team_state *right) noexcept;
    [[nodiscard]] bool takeRight(team_state &team);
    void erase(team_state &team, std::list<ticket>::iterator at);
    void balanceRights(team_state &team);

public:
    using size_type = std::size_t;

    /** A waiting request whose turn has come. */
    struct started_request
    {
        ticket_id id{};
        team_name team{};
        time_point deadline{};
    };

    /** Tells whether a request that must avoid these upstreams can run now. */
    using predicate = std::function<bool(const std::set<vm_id> &)>;

    fair_queue(const share_options &options, rights_broker &rights);
    fair_queue(const fair_queue &) = delete;
    fair_queue &operator=(const fair_queue &) = delete;
    ~fair_queue();

    /** Adds a request. False if too many of its team wait. */
    [[nodiscard]] bool emplace(ticket_id id, const slot_request &wanted, time_point now);

    /** Removes a waiting request; false if there is none of that name. */
    bool erase(ticket_id id);

    /** Takes the next request that can run, and its right, out of the queue. */
    [[nodiscard]] std::optional<started_request> pop(const predicate &canRun, time_point now);

    /** Ends the run of a request that pop() returned, and gives back its right. */
    void finish(const team_name &team, duration run, time_point startedAt);

    /** Takes rights for as many waiting requests as the bounds allow. */
    void acquireRights();

    /** Gives up the right of a waiting request of the team; false if none holds one. */
    [[nodiscard]] bool yieldRight(const team_name &team);

    /** Sets the weights; a team that is missing gets a small one. */
    void setWeights(std::span<const team_weight> weights);

    /**
     * Removes the requests that will hardly end before their deadline: less is left than a usual
     * run of their team and a quarter. One with little time from the start may wait for half of it.
     */
    [[nodiscard]] std::vector<ticket_id> expire(time_point now);

    /** Removes all requests. */
    [[nodiscard]] std::vector<ticket_id> clear();

    /** Expected wait of another request of the team; 0 while there is nothing to tell it from. */
    [[nodiscard]] duration expectedWait(const team_name &team) const;

    /** Expected time of one run; 0 if none has ended yet. */
    [[nodiscard]] duration meanRun() const noexcept { return m_meanRun; }

    /** State of every team that waits, runs or has used slot time. */
    [[nodiscard]] std::vector<team_load> loads(time_point now) const;

    /** Upstreams avoided by the first waiting request that holds a right and avoids any. */
    [[nodiscard]] const std::set<vm_id> *firstAvoided() const;

    [[nodiscard]] size_type waiting() const noexcept { return m_index.size(); }

    /** Waiting requests that hold a right. */
    [[nodiscard]] size_type backed() const noexcept;

private:
    const share_options &m_options;
    rights_broker &m_rights;
    std::unordered_map<team_name, std::unique_ptr<team_state>> m_teams{};
    std::unordered_map<ticket_id, position> m_index{};
    std::vector<team_state *> m_candidates{};
    double m_virtualTime{0};
    duration m_meanRun{};
};

} // namespace azurelb
