#pragma once

#include "executor.hpp"
#include "store.hpp"

#include <sys/types.h>

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

/** A small deployment on loopback addresses: stand-ins of the platform and the executors, and the
    project's daemons as processes. */
class world
{
public:
    world(asio::io_context &loop, std::string folder);
    world(const world &) = delete;
    world &operator=(const world &) = delete;
    /** Ends all processes that it started. */
    ~world();

    /** Adds a machine with an executor, which the list of machines and the directory show from now
        on. */
    executor &addMachine(const std::string &machine, const std::string &pool);
    /** Writes a configuration with one queue for each pool; queue and pool have the same name. */
    void configure(const std::vector<std::string> &pools);
    /** Adds another queue for a pool to the configuration, placed before those of lower priority.
     */
    void addQueue(const std::string &name, const std::string &pool, int priority);
    /** The machine and its executor are lost for good; the directory's entry stays for three
        heartbeat intervals. */
    void crashMachine(const std::string &name);
    void startDaemon(const std::string &name);
    void signalDaemon(const std::string &name, int number);
    [[nodiscard]] bool hasEnded(const std::string &name);
    /** Waits until all daemons are ready; false after 15 s. */
    asio::awaitable<bool> waitUntilReady();

    asio::awaitable<answer> submit(const std::string &daemon, const std::string &queue,
                                   const std::string &id, json::object job, milliseconds time);
    asio::awaitable<answer> cancel(const std::string &daemon, const std::string &queue,
                                   const std::string &id, milliseconds time);
    asio::awaitable<answer> state(const std::string &daemon, const std::string &queue,
                                  const std::string &id, milliseconds time);

    void record(const std::string &line);
    [[nodiscard]] milliseconds now() const { return steadyNow() - m_begunAt; }

    /** Times of the starts of a job's tasks. */
    [[nodiscard]] std::vector<milliseconds> startsOf(const std::string &job) const;
    /** Number of a job's runs that ended as done. */
    [[nodiscard]] std::size_t doneOf(const std::string &job) const;
    /** Number of a job's runs that ended in this way after a time. */
    [[nodiscard]] std::size_t endsOf(const std::string &job, const std::string &how,
                                     milliseconds after) const;
    /** Sets of starts of one gang run that carried different checkpoints. */
    [[nodiscard]] std::size_t mixedCheckpoints() const;
    [[nodiscard]] bool hadUpkeep(const std::string &machine) const
    {
        return m_upkeeps.contains(machine);
    }
    [[nodiscard]] store &platformStore() noexcept { return m_store; }
    [[nodiscard]] const std::vector<std::unique_ptr<executor>> &executors() const noexcept
    {
        return m_executors;
    }
    /** Starts of this job are not written to the record one by one. */
    void summarize(const std::string &job) { m_summarized.insert(job); }

private:
    struct machine
    {
        std::string name{};
        std::string pool{};
        std::string state{"up"};
        executor *present{nullptr};
        std::int64_t token{0};
        std::set<std::int64_t> waves{};
    };
    struct queue
    {
        std::string name{};
        std::string pool{};
        int priority{0};
    };
    struct run_end
    {
        std::string job{};
        std::string how{};
        milliseconds at{};
    };
    struct daemon
    {
        pid_t process{0};
        std::string front{};
        std::string ready{};
    };

    void writeConfiguration();
    asio::awaitable<void> forget(std::string id);
    asio::awaitable<void> runGangs();
    asio::awaitable<response> serveMachines(const request &message);
    asio::awaitable<void> replaceExecutor(machine &of, std::string pool, milliseconds time);
    executor &addExecutor(machine &on);
    void handle(const run_event &event);
    asio::awaitable<answer> callQueue(const std::string &daemon, http::verb method,
                                      const std::string &queue, const std::string &id,
                                      std::string body, milliseconds time);

    asio::io_context &m_loop;
    std::string m_folder;
    std::ofstream m_record;
    milliseconds m_begunAt{steadyNow()};
    store m_store;
    server m_machineService;
    std::map<std::string, machine> m_machines{};
    std::vector<std::unique_ptr<executor>> m_executors{};
    std::map<std::string, daemon> m_daemons{};
    std::multimap<std::string, milliseconds> m_starts{};
    std::map<std::string, std::size_t> m_done{};
    std::set<std::string> m_upkeeps{};
    std::vector<queue> m_queues{};
    std::set<std::string> m_pools{};
    std::vector<run_end> m_ends{};
    /** Checkpoints that the starts of a gang's run carried. */
    std::map<std::pair<std::string, std::int64_t>, std::set<std::string>> m_carried{};
    std::set<std::string> m_summarized{};
    unsigned m_lastExecutor{0};
    std::int64_t m_version{0};
};

} // namespace review
