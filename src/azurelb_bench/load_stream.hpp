#pragma once

#include <azurelb/http/http_client.hpp>
#include <azurelb_bench/stream_options.hpp>
#include <azurelb_bench/stream_result.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>
#include <vector>

namespace azurelb::bench {

/**
 * Open-loop load generator: issues calls at a rate that does not depend on the responses. Latency
 * is measured from the time at which a call was due, so that it includes a server's stalls.
 */
class load_stream
{
public:
    using clock = std::chrono::steady_clock;

    load_stream(boost::asio::io_context &loop, stream_options options);

    /** Issues the calls due by now. Precondition: now does not decrease between calls. */
    void issueDueCalls(clock::time_point start, clock::time_point now);

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_inFlight == 0 && m_pendingDueTimes.empty();
    }
    [[nodiscard]] const stream_options &options() const noexcept { return m_options; }
    [[nodiscard]] const stream_result &result() const noexcept { return m_result; }

    /** Drops the calls that are waiting for a connection. */
    void dropPending() { m_pendingDueTimes.clear(); }

private:
    void send();
    void finish(std::size_t client, clock::time_point due, const http_outcome &outcome);
    [[nodiscard]] http_request makeRequest() const;

    boost::asio::io_context &m_loop;
    stream_options m_options;
    std::vector<std::unique_ptr<http_client>> m_clients{};
    std::vector<std::size_t> m_idleClients{};
    std::deque<clock::time_point> m_pendingDueTimes{};
    clock::time_point m_start{};
    clock::time_point m_lastIssue{};
    double m_callsToIssue{};
    std::size_t m_inFlight{};
    stream_result m_result{};
};

} // namespace azurelb::bench
