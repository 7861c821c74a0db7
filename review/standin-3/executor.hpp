#pragma once

#include "http.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

/** What an executor saw; the scenario writes it to the record. */
struct run_event
{
    std::string executor{};
    std::string task{};
    std::int64_t run{0};
    std::string what{};
    std::string checkpoint{};
};

/** An executor that carries out what it is told within its lease. A task's specification says how
    long it takes: "ms=800"; with "save" it produces checkpoints, and "gang=2" names the number of
    members that work only together. */
class executor
{
public:
    using listener = std::function<void(const run_event &)>;

    struct limits
    {
        milliseconds maxHold{6000};
        milliseconds stopTime{100};
        milliseconds checkpointTime{1000};
    };

    executor(asio::io_context &loop, std::string id, std::string machine, std::string pool,
             limits with, listener onEvent);

    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    [[nodiscard]] const std::string &machine() const noexcept { return m_machine; }
    [[nodiscard]] const std::string &pool() const noexcept { return m_pool; }
    [[nodiscard]] std::size_t runningCount() const noexcept { return m_running.size(); }
    /** Number of ends that the system has not acknowledged. */
    [[nodiscard]] std::size_t unacknowledged() const noexcept { return m_ended.size(); }
    [[nodiscard]] std::int64_t born() const noexcept { return m_born.count(); }
    /** Entry in the store's directory. */
    [[nodiscard]] json::object entry() const;
    /** Ends everything that runs, as an upkeep or a move of the machine does. */
    void terminate();
    /** The executor is lost for good: it runs nothing and answers nothing any more. */
    void crash();

    /** A run that is a member of a gang. */
    struct gang_member
    {
        executor *on{nullptr};
        std::string task{};
        std::string checkpoint{};
        std::size_t width{0};
        bool working{false};
        milliseconds arrivedAt{};
        milliseconds worked{};
        milliseconds work{};
    };
    /** Appends the members of gangs that run here, by the run of their step. */
    void listMembers(std::map<std::pair<std::string, std::int64_t>, std::vector<gang_member>> &to);
    /** All members are present: they work from now on. */
    void beginWork(const std::string &task);
    void end(const std::string &task, const std::string &how);

private:
    struct active_run
    {
        std::int64_t run{0};
        std::string saved{};
        std::int64_t token{0};
        milliseconds startedAt{};
        milliseconds work{};
        bool saves{false};
        milliseconds stopAt{};
        std::size_t gang{0};
        bool working{true};
        /** The checkpoint that the start carried, and the work that it stands for. */
        std::string carried{};
        milliseconds resumed{};
    };
    struct ended_run
    {
        std::int64_t number{0};
        std::string task{};
        std::int64_t run{0};
        std::string how{};
        std::string saved{};
    };

    asio::awaitable<response> serve(const request &message);
    asio::awaitable<response> hold(json::object body);
    [[nodiscard]] response start(const json::object &body);
    [[nodiscard]] response stop(const json::object &body);
    asio::awaitable<void> work();
    [[nodiscard]] static milliseconds workedBy(const active_run &run, milliseconds now);
    void extendLease(std::int64_t expires);
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] json::object lists() const;

    std::string m_id;
    std::string m_machine;
    std::string m_pool;
    limits m_limits;
    listener m_onEvent;
    milliseconds m_startedAt{steadyNow()};
    milliseconds m_born{unixNow()};
    std::map<std::string, active_run> m_running{};
    std::deque<ended_run> m_ended{};
    std::map<std::string, std::int64_t> m_highestEnded{};
    std::int64_t m_lastNumber{0};
    std::int64_t m_highestToken{0};
    std::int64_t m_leaseEnds{0};
    bool m_crashed{false};
    server m_server;
};

} // namespace review
