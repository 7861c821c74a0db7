#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace azurelb {

/** Where the store is. */
struct etcd_options
{
    /** Addresses of the JSON gateways, at least one; the next is tried when one fails. */
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
};

} // namespace azurelb
