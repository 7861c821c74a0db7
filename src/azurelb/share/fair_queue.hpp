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
 * Requests that wait at one daemon for one pool. Each team's requests are served in order of
 * arrival, and the teams by start-time fair queueing (Goyal, Vin and Cheng, 1996) over the slot
 * time used. The dispatcher sets the weights so that the shares hold over the whole fleet.
 */
class fair_queue
{
    struct ticket
    {
        ticket_id id{};
        time_point deadline{};
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
        /** Slot time of ended requests in seconds, divided by the weight. */
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
    /**
     * Virtual time including the expected slot time of running requests. Run times are assumed
     * memoryless: each running request is expected to take another mean run.
     */
    [[nodiscard]] static double startTag(const team_state &team, time_point now) noexcept;
    [[nodiscard]] static bool isBefore(const team_state *left, const team_state *right) noexcept;
    [[nodiscard]] bool takeRight(team_state &team);
    void erase(team_state &team, std::list<ticket>::iterator at);
    void balanceRights(team_state &team);

public:
    using size_type = std::size_t;

    /** A request that pop() has removed from the queue to start it. */
    struct started_request
    {
        ticket_id id{};
        team_name team{};
        time_point deadline{};
    };

    /** Returns whether a request that avoids these upstreams can run now. */
    using predicate = std::function<bool(const std::set<vm_id> &)>;

    fair_queue(const share_options &options, rights_broker &rights);
    fair_queue(const fair_queue &) = delete;
    fair_queue &operator=(const fair_queue &) = delete;
    ~fair_queue();

    /** Adds a request; returns false if its team has too many waiting requests. */
    [[nodiscard]] bool emplace(ticket_id id, const slot_request &wanted, time_point now);

    /** Removes a waiting request; returns false if there is none with this id. */
    bool erase(ticket_id id);

    /** Removes and returns the next request that can run; its right stays taken until finish(). */
    [[nodiscard]] std::optional<started_request> pop(const predicate &canRun, time_point now);

    /** Records the end of a request that pop() returned and releases its right. */
    void finish(const team_name &team, duration run, time_point startedAt);

    /** Acquires rights for as many waiting requests as the bounds allow. */
    void acquireRights();

    /** Transfers the right of one of the team's waiting requests to the caller; false if none. */
    [[nodiscard]] bool yieldRight(const team_name &team);

    /** Sets the weights; a team that is not listed gets a small one. */
    void setWeights(std::span<const team_weight> weights);

    /**
     * Removes and returns the requests that are unlikely to end before their deadline: the time
     * left is at most 1.25 mean runs of their team. A request with a short deadline may still
     * wait for half of its time.
     */
    [[nodiscard]] std::vector<ticket_id> expire(time_point now);

    /** Removes all requests and returns their ids. */
    [[nodiscard]] std::vector<ticket_id> clear();

    /** Expected wait of a new request of the team; 0 without data. */
    [[nodiscard]] duration expectedWait(const team_name &team) const;

    /** Moving average of the run time over all teams; 0 if no run has ended yet. */
    [[nodiscard]] duration meanRun() const noexcept { return m_meanRun; }

    /** Returns the load of every team that has had a request here. */
    [[nodiscard]] std::vector<team_load> loads(time_point now) const;

    /**
     * Upstreams that the first waiting request of a team with a right avoids; null if no such
     * request avoids any.
     */
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
