#pragma once

#include <azurelb_bench/fwd.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace azurelb::bench {

/** One open-loop stream of calls: of one team, for one path, to one endpoint. */
struct stream_options
{
    boost::asio::ip::tcp::endpoint target{};
    std::string team{};
    std::string key{};
    std::string path{};
    std::size_t bodyBytes{};
    std::chrono::milliseconds runTime{};
    std::chrono::milliseconds timeout{};
    /** Calls a second, by the time since the start. */
    std::function<double(std::chrono::duration<double>)> rate{};
    /** Connections at one moment; calls that find none free wait, and the wait counts. */
    std::size_t maxConnections{};
};

} // namespace azurelb::bench
