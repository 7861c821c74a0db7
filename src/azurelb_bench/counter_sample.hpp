#pragma once

#include <azurelb_bench/process_usage.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurelb::bench {

/** Processes whose counters a run samples. */
struct monitored_processes
{
    std::vector<boost::asio::ip::tcp::endpoint> operators{};
    std::vector<boost::asio::ip::tcp::endpoint> executors{};
    std::vector<boost::asio::ip::tcp::endpoint> stores{};
    std::vector<int> daemonPids{};
};

/** Counters of all monitored processes at one point in time. */
struct counter_sample
{
    std::chrono::steady_clock::time_point takenAt{};
    std::vector<process_usage> daemons{};
    /** Sums over all daemons and labels, by metric name. */
    std::map<std::string, double> metrics{};
    std::uint64_t storeCalls{};
    std::uint64_t executorRequests{};
    std::uint64_t executorRefusals{};
    std::uint64_t maxRunningPerExecutor{};
};

/** Sends a GET and returns the body, or an empty string after 2 s without response. Blocks. */
[[nodiscard]] std::string fetch(const boost::asio::ip::tcp::endpoint &from,
                                const std::string &path);

/** Reads the counters of all processes sequentially. Blocks. */
[[nodiscard]] counter_sample takeCounterSample(const monitored_processes &processes);

/** Number of requests currently running on all executors. Blocks. */
[[nodiscard]] std::uint64_t countRunningRequests(const monitored_processes &processes);

} // namespace azurelb::bench
