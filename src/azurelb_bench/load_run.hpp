#pragma once

#include <azurelb_bench/counter_sample.hpp>
#include <azurelb_bench/load_stream.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace azurelb::bench {

/** Runs streams for a given time, then waits for the calls in flight. */
class load_run
{
public:
    load_run(std::vector<stream_options> streams, std::chrono::milliseconds duration);

    /**
     * Blocks until every call has ended. When the time is over, calls that wait for a connection
     * are dropped.
     */
    void run();

    /** Results in the order of the streams. */
    [[nodiscard]] std::vector<stream_result> results() const;

private:
    void tick();

    boost::asio::io_context m_loop{1};
    boost::asio::steady_timer m_timer{m_loop};
    std::vector<std::unique_ptr<load_stream>> m_streams{};
    std::chrono::milliseconds m_duration;
    load_stream::clock::time_point m_start{};
};

} // namespace azurelb::bench
