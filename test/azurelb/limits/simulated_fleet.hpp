#pragma once

#include <azurelb/limits/departure_source.hpp>
#include <azurelb/limits/rights_protocol.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurelb::test {

using namespace std::chrono_literals;

/** Departure source with a settable list of removed daemons. */
class fake_departures final : public departure_source
{
public:
    [[nodiscard]] bool isGone(const member &daemon) const override { return gone.contains(daemon); }

    std::set<member> gone{};
};

/** Message loss, duplication and delay; loss and repeat are probabilities. */
struct network_faults
{
    double loss{0};
    double repeat{0};
    duration delay{1500us};
    duration jitter{0ms};
};

/** One daemon of the simulated fleet. */
struct simulated_daemon
{
    member id{};
    std::unique_ptr<rights_protocol> protocol{};
    bool killed{false};
    bool paused{false};
    /** Outgoing or incoming messages are lost. */
    bool cutOut{false};
    bool cutIn{false};
    bool storeCut{false};
    std::vector<std::function<void()>> backlog{};
    std::map<team_name, right_count> running{};
    /** Deadlines of the running requests. They end by then even if the daemon is lost. */
    std::map<team_name, std::deque<time_point>> deadlines{};
    std::map<team_name, right_count> waiting{};
    std::uint64_t bytesSent{};
    time_point lastReadAt{};
    std::vector<member> fresh{};

    [[nodiscard]] bool isUp() const { return !killed && !paused; }
};

/** Simulates a fleet of rights_protocol instances, store, network and platform in virtual time. */
class simulated_fleet
{
public:
    explicit simulated_fleet(std::size_t size, rights_options options = {}, unsigned seed = 1);

    /** Starts a daemon with a VM name, which may be in use already. */
    simulated_daemon &start(const std::string &vm);
    void kill(simulated_daemon &daemon);
    void resume(simulated_daemon &daemon);
    /** The platform removes the VM. */
    void removeVm(simulated_daemon &daemon);
    void setLimit(const team_name &team, right_count limit);
    bool acquire(simulated_daemon &daemon, const team_name &team);
    void release(simulated_daemon &daemon, const team_name &team);
    void acquireAll(simulated_daemon &daemon, const team_name &team, right_count most = 1000);
    void releaseAll(simulated_daemon &daemon, const team_name &team, right_count least = 0);
    void setDemand(simulated_daemon &daemon, const team_name &team, right_count waiting);
    void advance(duration time);

    /** Requests that may be running in the fleet, including those of lost daemons. */
    [[nodiscard]] right_count running(const team_name &team) const;
    /** Rights held by all daemons that are neither killed nor closed. */
    [[nodiscard]] right_count held(const team_name &team) const;
    /** The upper bound for running requests: the highest limit that may still apply. */
    [[nodiscard]] right_count bound(const team_name &team) const { return m_bounds.at(team); }
    /** Throws std::logic_error if running requests or minted rights exceed a bound. */
    void verify() const;

    rights_options options;
    network_faults network{};
    fake_departures departures{};
    std::vector<std::unique_ptr<simulated_daemon>> daemons{};
    wire::rights_document document{};
    revision at{};
    bool storeDown{false};
    bool answersLost{false};
    duration storeDelay{2ms};
    /** A daemon receives the limits with a probability of one in this many per tick. */
    unsigned configLag{1};
    std::uint64_t storeCalls{};
    time_point now{time_point{} + 1000s};

private:
    using event_queue = std::multimap<time_point, std::function<void()>>;

    void schedule(duration delay, std::function<void()> event);
    void deliver(simulated_daemon &to, std::function<void()> event);
    void step();
    void tick(simulated_daemon &daemon);
    void updateViews(simulated_daemon &daemon);
    void send(simulated_daemon &from, const outgoing_rights_message &message);
    void read(simulated_daemon &by);
    void commit(simulated_daemon &by, const wire::rights_document &next, revision expected);
    void updateBounds();
    void endOverdue(simulated_daemon &daemon);
    [[nodiscard]] static bool reaches(const simulated_daemon &from, const simulated_daemon &to);
    [[nodiscard]] bool storeAnswers(const simulated_daemon &by) const;

    std::mt19937_64 m_random;
    event_queue m_events{};
    rights_limits m_limits{};
    team_counts m_bounds{};
    std::uint64_t m_lastIncarnation{100};
};

} // namespace azurelb::test
