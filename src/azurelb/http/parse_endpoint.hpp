#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace azurelb {

/**
 * Reads "IP:PORT" or "[IPv6]:PORT". Throws boost::system::system_error with invalid_argument if
 * the text is anything else; names are not resolved.
 */
[[nodiscard]] boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

} // namespace azurelb
