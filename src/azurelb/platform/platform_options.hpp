#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace azurelb {

/** Address of the platform's API and timing of its use. */
struct platform_options
{
    boost::asio::ip::tcp::endpoint endpoint;
    /** Time from the end of one poll to the start of the next. */
    std::chrono::milliseconds pollInterval{1000};
    /** Time limit of one call. */
    std::chrono::milliseconds timeout{2000};
};

} // namespace azurelb
