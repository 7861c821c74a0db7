#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace azurelb {

/** Addresses of the store. */
struct etcd_options
{
    /** Addresses of the JSON gateways, at least one; if one fails, the next is tried. */
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
};

} // namespace azurelb
