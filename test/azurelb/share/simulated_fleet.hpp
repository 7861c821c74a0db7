#pragma once

#include "mock_limits.hpp"

#include <azurelb/share/dispatcher.hpp>
#include <azurelb/share/dispatcher_client.hpp>
#include <azurelb/share/rights_broker.hpp>

#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace azurelb::testing {

/** Sizes and faults of a simulated fleet. */
struct fleet_options
{
    std::size_t daemons{9};
    std::size_t upstreams{10};
    std::uint32_t slots{8};
    std::chrono::microseconds delay{1500};
    std::chrono::microseconds jitter{0};
    std::chrono::milliseconds meanRun{50};
    /** Run times are exponentially distributed; otherwise uniformly, from 0.5 to 1.5 of the mean.
     */
    bool isLongTailed{false};
    /** Time until the membership removes a failed daemon. */
    std::chrono::milliseconds detection{1000};
    double loss{0};
    double repetition{0};
    std::uint64_t seed{1};
    share_options share{};
    std::vector<team_share> shares{};
    /** Each daemon has a fixed part of the slots, without a dispatcher. */
    bool isStatic{false};
};

/** Requests of one team that arrive at one daemon. */
struct load
{
    team_name team{};
    std::size_t daemon{};
    double perSecond{};
    std::chrono::milliseconds deadline{2000};
};

/** Statistics of the requests of one team. */
struct team_statistics
{
    /** Slot time at the executors, including running requests. */
    double usedSeconds{};
    std::uint64_t requested{};
    std::uint64_t answered{};
    std::uint64_t failed{};
    std::uint64_t refused{};
    /** Refused within a millisecond of their arrival. */
    std::uint64_t refusedAtOnce{};
    std::uint64_t cancelled{};
};

/** Simulates daemons, executors and the network between them on a virtual clock. */
class simulated_fleet
{
    struct event
    {
        time_point at{};
        std::uint64_t order{};
        std::function<void()> action{};
        bool operator<(const event &other) const noexcept
        {
            return at > other.at || (at == other.at && order > other.order);
        }
    };

    struct ticket_state
    {
        team_name team{};
        time_point requestedAt{};
        bool isEnded{};
    };

    struct daemon
    {
        member id{};
        bool isAlive{true};
        time_point pausedUntil{};
        std::unique_ptr<mock_limits> limits{};
        std::unique_ptr<rights_broker> rights{};
        std::unique_ptr<dispatcher_client> client{};
        std::unique_ptr<dispatcher> ownDispatcher{};
        std::optional<member> owner{};
        std::map<ticket_id, ticket_state> tickets{};
        std::uint64_t staticSequence{};
        std::uint64_t view{};
    };

    struct executor
    {
        upstream_vm vm{};
        bool isEligible{true};
        bool isFailing{};
        std::uint32_t running{};
        /** Slots in use, from the grant to the release. */
        std::uint32_t used{};
        duration idleTime{};
        std::uint64_t attempts{};
    };

public:
    explicit simulated_fleet(fleet_options options);

    /** Adds a Poisson stream of requests; returns its index for setRate(). */
    std::size_t addLoad(load added);
    void setRate(std::size_t index, double perSecond) { m_loads[index].perSecond = perSecond; }

    /** Adds one request at the daemon now. */
    ticket_id sendRequest(std::size_t daemon, const team_name &team,
                          std::chrono::milliseconds deadline, std::set<vm_id> avoid = {});

    /** Cancels this part, 0 to 1, of the waiting requests of every daemon. */
    void cancelWaiting(double part);

    void advance(duration span);
    void kill(std::size_t daemon);
    void pause(std::size_t daemon, duration span);
    /** Replaces a killed daemon by a process with a new incarnation. */
    void replace(std::size_t daemon);
    void setFailing(const zone_name &zone, bool isFailing);
    void setFailing(std::size_t upstream, bool isFailing);
    void setEligible(const zone_name &zone, bool isEligible);
    void setDelay(std::chrono::microseconds jitter, double loss, double repetition);
    void setConfirmed(std::size_t daemon, bool isConfirmed);

    [[nodiscard]] time_point now() const noexcept { return m_now; }
    [[nodiscard]] team_statistics statistics(const team_name &team) const;
    [[nodiscard]] team_statistics total() const;
    [[nodiscard]] std::uint64_t attempts(std::size_t upstream) const;
    [[nodiscard]] std::uint64_t attempts(const zone_name &zone) const;
    /** Resets waits, idle times and maxRunning(); the teams' statistics are kept. */
    void resetPeaks();
    /** Maximum number of concurrent requests at one executor. */
    [[nodiscard]] std::uint32_t maxRunning() const noexcept { return m_maxRunning; }
    /** Idle slot time in seconds while a request that was allowed to run waited. */
    [[nodiscard]] double idleSeconds() const noexcept { return m_idleSeconds; }
    /** Longest time for which one executor had an idle slot while a request that was allowed to
        run waited. */
    [[nodiscard]] duration maxIdleTime() const noexcept { return m_maxIdleTime; }
    /** Quantile, 0 to 1, of the time from a request's arrival to its grant. */
    [[nodiscard]] std::chrono::microseconds wait(double part);
    /** Number of messages sent between daemons. */
    [[nodiscard]] std::uint64_t messages() const noexcept { return m_messages; }
    [[nodiscard]] std::size_t dispatcherIndex() const;
    [[nodiscard]] const dispatcher *findDispatcher() const;
    [[nodiscard]] dispatcher_client &client(std::size_t daemon)
    {
        return *m_daemons[daemon].client;
    }
    [[nodiscard]] mock_limits &limits(std::size_t daemon) { return *m_daemons[daemon].limits; }
    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    [[nodiscard]] bool isAlive(std::size_t daemon) const { return m_daemons[daemon].isAlive; }
    /** Number of grants or refusals delivered for requests that had already ended. */
    [[nodiscard]] std::uint64_t repeatedOutcomes() const noexcept { return m_repeatedOutcomes; }
    /** Number of requests at live daemons that were not granted, refused or cancelled yet. */
    [[nodiscard]] std::size_t openRequests() const;
    /** Returns true if every daemon holds exactly the rights of its waiting and running requests.
     */
    [[nodiscard]] bool areRightsBalanced();
    /** Last time at which a daemon changed to another dispatcher. */
    [[nodiscard]] time_point dispatcherChangedAt() const noexcept { return m_dispatcherChangedAt; }
    /** Number of executor slots held by daemons, and how many of these are busy. */
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t busy() const;

private:
    void schedule(time_point at, std::function<void()> action);
    /** Runs the action at the daemon: not if it was killed, and after the pause if it is paused. */
    void scheduleAt(std::size_t daemon, time_point at, std::function<void()> action);
    void startDaemon(std::size_t index, std::uint64_t process);
    void arrive(std::size_t index);
    void tick();
    void flush(std::size_t index);
    void flushStatic(daemon &at);
    void applyGrant(std::size_t index, const ticket_grant &granted);
    void endAttempt(std::size_t index, lease_id lease, const team_name &team, std::size_t upstream,
                    duration span);
    void sendReport(std::size_t from, const slot_report &report);
    void sendAssignment(std::size_t from, const addressed_assignment &made);
    void transmit(std::size_t from, std::size_t to, std::function<void()> action);
    void refreshMembership();
    void refreshUpstreams();
    void measureIdle();
    [[nodiscard]] std::vector<upstream_vm> eligible() const;
    [[nodiscard]] duration drawRun();
    [[nodiscard]] double draw();

    fleet_options m_options;
    std::mt19937_64 m_random;
    time_point m_now{std::chrono::hours{1}};
    std::uint64_t m_nextOrder{0};
    std::priority_queue<event> m_events{};
    std::vector<daemon> m_daemons{};
    std::vector<executor> m_executors{};
    std::vector<load> m_loads{};
    std::vector<bool> m_isFresh{};
    std::map<team_name, team_statistics> m_statistics{};
    /** Start times of the requests that run at executors, by team. */
    std::multimap<team_name, time_point> m_running{};
    std::vector<std::chrono::microseconds> m_waits{};
    std::uint64_t m_nextTicket{1};
    std::uint64_t m_nextProcess{1};
    std::uint64_t m_nextView{1};
    std::uint64_t m_messages{0};
    std::uint64_t m_repeatedOutcomes{0};
    std::uint32_t m_maxRunning{0};
    time_point m_dispatcherChangedAt{};
    double m_idleSeconds{0};
    duration m_maxIdleTime{};
};

} // namespace azurelb::testing
