#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** Parses IP:PORT, with brackets around an IPv6 address; nullopt if the text is malformed. */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/** Returns whether the text is an IP:PORT to which a client can connect: port 0 names none. */
[[nodiscard]] bool isPeerAddress(std::string_view text);

/** Formats the endpoint as IP:PORT, with brackets around an IPv6 address. */
[[nodiscard]] std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace azurelb
