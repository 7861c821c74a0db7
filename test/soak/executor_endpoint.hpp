#pragma once

#include "run_audit.hpp"

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/message.hpp>
#include <support/fake_executor.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace azurelb::soak {

/** Stand-in of an executor, by the published protocol. */
class executor_endpoint
{
public:
    /** Number of runs of a task under way on all executors. */
    using run_counter = std::function<std::size_t(const task_id &)>;

    executor_endpoint(boost::asio::io_context &loop, std::string id, run_audit &audit,
                      run_counter countRuns, double clockRate);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] const test::fake_executor &model() const noexcept { return m_model; }

    /** The directory's entry, with the address under which the daemons reach it. */
    [[nodiscard]] std::string registration(const std::string &address) const;
    /** Its entry in the list of VMs. */
    [[nodiscard]] std::string vmEntry() const;

    /** Runs end in time, leases lapse. */
    void advance(boot_time now);
    /** All it runs ends, and a new life begins under its identifier. */
    void crash(boot_time now);

private:
    using answer = boost::asio::awaitable<http_response>;

    answer serve(const http_request &request);
    answer report(const std::string &body);
    [[nodiscard]] http_response start(const std::string &body);
    [[nodiscard]] http_response stop(const std::string &body);
    void auditAcknowledged();

    boost::asio::io_context &m_loop;
    std::string m_id;
    run_audit &m_audit;
    run_counter m_countRuns;
    test::fake_executor m_model;
    boot_time m_startedAt;
    /** When each end of this life was seen. */
    std::map<std::int64_t, boot_time> m_endedAt{};
    http_server m_server;
};

} // namespace azurelb::soak
