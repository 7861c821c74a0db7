#pragma once

#include "run_audit.hpp"

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/message.hpp>
#include <support/fake_executor.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace azurelb::soak {

/** Simulates an executor over the published HTTP protocol. */
class executor_endpoint
{
public:
    /** Longest lease that an executor grants. */
    static constexpr std::chrono::milliseconds maxLease{10'000};
    /** Number of runs that fill an executor. */
    static constexpr std::size_t maxRuns{16};

    /** Returns the number of active runs of a task over all executors. */
    using run_counter = std::function<std::size_t(const task_id &)>;

    executor_endpoint(boost::asio::io_context &loop, std::string id, run_audit &audit,
                      run_counter countRuns, double clockRate);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] const test::fake_executor &model() const noexcept { return m_model; }

    /** Directory entry of the executor, with the address at which the daemons reach it. */
    [[nodiscard]] std::string registration(const std::string &address) const;
    /** As registration(), without the time of the start, which names the incarnation. */
    [[nodiscard]] std::string unnamedRegistration(const std::string &address) const;
    /** Entry of its VM in the VM list, in the given state. */
    [[nodiscard]] std::string vmEntry(const std::string &state) const;

    /** Ends the runs that finish or whose lease expires by now. */
    void advance(boot_time now);
    /** Simulates a crash: drops all runs and restarts under the same identifier. */
    void crash(boot_time now);
    /** As crash(), behind an intermediary that keeps the open connections: requests that the former
        incarnation has not read reach the next one, those that it has read are never answered. */
    void crashBehindIntermediary(boot_time now);

    /** From now on each connection ends after one response. */
    void closeConnections() noexcept;

private:
    using answer = boost::asio::awaitable<http_response>;

    answer serve(const http_request &request);
    answer report(const std::string &body);
    [[nodiscard]] http_response start(const std::string &body);
    [[nodiscard]] http_response stop(const std::string &body);
    void auditAcknowledged();
    /** Whether the sender of an acknowledgement can still take this incarnation for a former one.
     */
    [[nodiscard]] bool mayMistakeIncarnation(std::int64_t token, boot_time now) const;
    /** Number of ends that the acknowledgement discards and no response has listed. */
    [[nodiscard]] std::ptrdiff_t countUnlisted(std::int64_t acknowledged) const;
    /** Ends a request that was read by a former incarnation. */
    answer abandon();

    boost::asio::io_context &m_loop;
    std::string m_id;
    run_audit &m_audit;
    run_counter m_countRuns;
    test::fake_executor m_model;
    boot_time m_startedAt;
    /** Time at which each end was observed, by sequence number; cleared by a crash. */
    std::map<std::int64_t, boot_time> m_endedAt{};
    /** Number of the latest end that this incarnation has listed in a response. */
    std::int64_t m_lastListed{0};
    /** When this incarnation first answered a report, by fencing token. */
    std::map<std::int64_t, boot_time> m_firstAnswers{};
    /** Connections of the former incarnation lead to this one. */
    bool m_keptConnections{false};
    bool m_closesConnections{false};
    http_server m_server;
};

} // namespace azurelb::soak
