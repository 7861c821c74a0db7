#pragma once

#include <azurelb_bench/process_usage.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurelb::bench {

/** Whom a run watches. */
struct monitored_processes
{
    std::vector<boost::asio::ip::tcp::endpoint> operators{};
    std::vector<boost::asio::ip::tcp::endpoint> executors{};
    std::vector<boost::asio::ip::tcp::endpoint> stores{};
    std::vector<int> daemonPids{};
};

/** Counters of everything watched at one moment. */
struct counter_sample
{
    std::chrono::steady_clock::time_point takenAt{};
    std::vector<process_usage> daemons{};
    /** Sums over all daemons, by the name of the metric. */
    std::map<std::string, double> metrics{};
    std::uint64_t storeCalls{};
    std::uint64_t executorRequests{};
    std::uint64_t executorRefusals{};
    std::uint64_t maxRunningPerExecutor{};
};

/** Answer to GET of the path, empty if there was none within 2 s. Blocks. */
[[nodiscard]] std::string fetch(const boost::asio::ip::tcp::endpoint &from,
                                const std::string &path);

/** Reads all counters, one process after the other. */
[[nodiscard]] counter_sample takeCounterSample(const monitored_processes &processes);

/** Requests that run at this moment on all executors. */
[[nodiscard]] std::uint64_t countRunningRequests(const monitored_processes &processes);

} // namespace azurelb::bench
