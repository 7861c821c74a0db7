#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace azurelb {

/**
 * Sets TCP options of a connected socket for low latency and detection of dead peers: no delay,
 * keepalive, and a limit on how long sent data may stay unacknowledged. Errors are ignored.
 */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

/**
 * True if an idle connection is usable: the peer has neither closed it nor sent unexpected data.
 */
[[nodiscard]] bool isIdleConnectionAlive(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace azurelb
