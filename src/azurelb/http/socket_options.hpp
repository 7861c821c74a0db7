#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace azurelb {

/**
 * Prepares a connected socket for small messages and dead peers: no delay, TCP keepalive, and a
 * limit on the time that sent bytes stay unacknowledged. Errors are ignored.
 */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

/**
 * Whether an idle connection is still good: the peer has neither closed it nor sent anything that
 * nobody asked for.
 */
[[nodiscard]] bool isIdleConnectionAlive(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace azurelb
