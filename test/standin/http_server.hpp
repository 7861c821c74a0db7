#pragma once

#include "listener.hpp"
#include "mode.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace azurelb::standin {

/** Serves one mode over HTTP on one address, with the faults that are set in it. */
class http_server
{
public:
    /** Throws boost::system::system_error if the address cannot be bound. */
    http_server(asio::io_context &loop, const tcp::endpoint &address, mode &served);

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_listener.address(); }

private:
    using stream = boost::beast::tcp_stream;
    using stream_ptr = std::shared_ptr<stream>;

    void accepted(tcp::socket socket);
    awaitable<void> serve(stream_ptr connection);
    awaitable<bool> serveOne(stream &connection, const request &asked);
    awaitable<bool> deliver(stream &connection, const request &asked, response answer);
    awaitable<void> swallow(stream &connection);
    void applyFault();

    asio::io_context &m_loop;
    mode &m_mode;
    std::set<stream_ptr> m_connections;
    response m_previous;
    listener m_listener;
};

} // namespace azurelb::standin
