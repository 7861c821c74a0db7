#pragma once

#include "run_audit.hpp"

#include <azurelb/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurelb::soak {

/** Simulates callers that submit jobs, poll their state and cancel some of them. */
class soak_caller
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    soak_caller(boost::asio::io_context &loop, std::vector<endpoint> daemonAddresses,
                run_audit &audit, unsigned seed);

    /** Submits a random job and polls it until it ends. */
    void submitJob();
    /** Submits a random job whose tasks last as long as given, and polls it until it ends. */
    void submitJob(std::chrono::milliseconds duration);
    void submitJob(std::chrono::milliseconds duration, std::uint32_t tasks, bool cancels);

    /** Submits a job that needs not end: a gang that no pool has room for. */
    void submitHopelessGang();
    /** Submits a job that needs not end: many occurrences of a short task, all of them overdue. */
    void submitOverdueOccurrences();
    /** Submits a scheduled job of three occurrences, the first of which is due at once, and polls
       it until it ends. */
    void submitScheduledJob();

    /** Submits a job at one daemon, and cancels it at another one before the first has answered. */
    void submitAndCancel(std::size_t submitAt, std::size_t cancelAt,
                         std::chrono::milliseconds pause);

    /** Asks one of the daemons for the number of waiting jobs, which the audit checks. */
    void askForWaitingJobs();

    /** Number of jobs still being submitted or polled. */
    [[nodiscard]] std::size_t activeCount() const noexcept { return m_active; }

    /** Returns whether the job's tasks outlast a takeover. */
    [[nodiscard]] bool hasLongTasks(const job_id &job) const { return m_longJobs.contains(job); }

private:
    /** The status is 0 if no answer arrived. */
    struct call_answer
    {
        unsigned status{0};
        std::string body{};
    };
    struct planned_job
    {
        job_id id{};
        std::string spec{};
        std::uint32_t tasks{1};
        bool cancels{false};
        /** Number of occurrences; 0 for a job that is not scheduled. */
        std::uint32_t repeats{0};
        std::string queue{"plans"};
        /** Body of the submission. */
        std::string body{};
    };

    boost::asio::awaitable<void> checkWaitingJobs();
    boost::asio::awaitable<void> follow(planned_job plan);
    boost::asio::awaitable<bool> submit(const planned_job &plan);
    boost::asio::awaitable<bool> cancel(const planned_job &plan);
    /** Submits the job until it is accepted, and does not ask for it any more. */
    boost::asio::awaitable<void> submitUnfollowed(planned_job plan);
    void startUnfollowed(planned_job plan);
    boost::asio::awaitable<void> cancelDuring(planned_job plan, std::size_t cancelAt,
                                              std::chrono::milliseconds pause);
    /** Calls one of the daemons. */
    boost::asio::awaitable<call_answer> call(boost::beast::http::verb method,
                                             const std::string &path, std::string body);
    boost::asio::awaitable<call_answer> call(std::size_t daemon, boost::beast::http::verb method,
                                             std::string path, std::string body);
    [[nodiscard]] planned_job makePlan(std::chrono::milliseconds duration, std::uint32_t tasks);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);
    [[nodiscard]] std::size_t draw(std::size_t below);

    boost::asio::io_context &m_loop;
    std::vector<endpoint> m_daemonAddresses;
    run_audit &m_audit;
    std::mt19937 m_random;
    std::size_t m_active{0};
    std::set<job_id> m_longJobs{};
};

} // namespace azurelb::soak
