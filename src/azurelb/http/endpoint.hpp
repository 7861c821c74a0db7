#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** The address and port written as IP:PORT, with brackets around an IPv6 address. */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/** The address and port as IP:PORT. */
[[nodiscard]] std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace azurelb
