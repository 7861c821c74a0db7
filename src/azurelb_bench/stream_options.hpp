#pragma once

#include <azurelb_bench/fwd.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace azurelb::bench {

/** Options of an open-loop stream of calls by one team to one path of one endpoint. */
struct stream_options
{
    boost::asio::ip::tcp::endpoint target{};
    std::string team{};
    std::string key{};
    std::string path{};
    std::size_t bodyBytes{};
    /** Time that each call runs on its executor. */
    std::chrono::milliseconds runTime{};
    std::chrono::milliseconds timeout{};
    /** Calls per second as a function of the time since the start. */
    std::function<double(std::chrono::duration<double>)> rate{};
    /** Further calls wait for an idle connection; their latency includes the wait. */
    std::size_t maxConnections{};
};

} // namespace azurelb::bench
