#pragma once

#include <azurelb_bench/process_usage.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurelb::bench {

/** Whom a run watches. */
struct watched_processes
{
    std::vector<boost::asio::ip::tcp::endpoint> operators{};
    std::vector<boost::asio::ip::tcp::endpoint> executors{};
    std::vector<boost::asio::ip::tcp::endpoint> stores{};
    std::vector<int> daemons{};
};

/** Counters of everything watched at one moment. */
struct control_sample
{
    std::chrono::steady_clock::time_point taken{};
    std::vector<process_usage> daemons{};
    /** Sums over all daemons, by the name of the metric. */
    std::map<std::string, double> metrics{};
    std::uint64_t storeCalls{};
    std::uint64_t executorRequests{};
    std::uint64_t executorsRefused{};
    std::uint64_t executorsMostRunning{};
};

/** Answer to GET of the path, empty if there was none within 2 s. Blocks. */
[[nodiscard]] std::string fetch(const boost::asio::ip::tcp::endpoint &from,
                                const std::string &path);

/** Reads all counters, one process after the other. */
[[nodiscard]] control_sample takeSample(const watched_processes &watched);

/** Requests that run at this moment on all executors. */
[[nodiscard]] std::uint64_t runningNow(const watched_processes &watched);

} // namespace azurelb::bench
