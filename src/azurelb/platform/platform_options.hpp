#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace azurelb {

/** Where the platform's interface is and how it is used. */
struct platform_options
{
    boost::asio::ip::tcp::endpoint endpoint;
    /** Time from the end of one poll to the next. */
    std::chrono::milliseconds pollInterval{1000};
    /** Upper limit of one call. */
    std::chrono::milliseconds timeout{2000};
};

} // namespace azurelb
