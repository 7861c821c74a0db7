#pragma once

#include <azurelb/http/http_outcome.hpp>
#include <azurelb/http/http_timeouts.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace azurelb {

/**
 * HTTP/1.1 client with one kept-alive connection to one endpoint. A connection is given up after
 * a failed exchange, after 30 s without one, and when the peer closes it or sends what nobody
 * asked for; the next call connects anew.
 */
class http_client
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    http_client(boost::asio::io_context &loop, const endpoint &peer);
    http_client(http_client &&) noexcept = default;
    http_client &operator=(http_client &&) noexcept = default;

    /** Drops the handler of an exchange under way. */
    ~http_client();

    /**
     * Sends the request and waits for the whole answer. The handler runs on the event loop, once,
     * never inside this call. Precondition: no exchange is under way.
     */
    void call(http_request request, http_timeouts timeouts, http_handler handler);

    /** Closes the connection and drops the handler of an exchange under way. */
    void close() noexcept;

    [[nodiscard]] const endpoint &peer() const noexcept { return m_peer; }

private:
    boost::asio::io_context *m_loop;
    endpoint m_peer;
    std::shared_ptr<internal::http_connection> m_connection;
};

} // namespace azurelb
