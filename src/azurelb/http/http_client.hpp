#pragma once

#include <azurelb/http/http_outcome.hpp>
#include <azurelb/http/http_timeouts.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace azurelb {

/**
 * HTTP/1.1 client with one persistent connection to one endpoint. The connection is closed after a
 * failed exchange, after 30 s without one, or when the peer closes it or sends unexpected data; the
 * next call opens a new one.
 */
class http_client
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    http_client(boost::asio::io_context &loop, const endpoint &peer);
    http_client(http_client &&) noexcept = default;
    http_client &operator=(http_client &&) noexcept = default;

    /** Discards the handler of an exchange in progress without calling it. */
    ~http_client();

    /**
     * Sends the request and waits for the complete response. The handler is called exactly once, on
     * the event loop and never from within this function. Precondition: no exchange is in progress.
     */
    void call(http_request request, http_timeouts timeouts, http_handler handler);

    /** As call(), but never opens a connection. Precondition: isConnected() has just returned
        true. */
    void callConnected(http_request request, http_timeouts timeouts, http_handler handler);

    /** Returns whether the next call will use the present connection. Precondition: no exchange is
        in progress. */
    [[nodiscard]] bool isConnected() const noexcept;

    /** Returns the number of the present connection, which rises with each new one; 0 if there has
        been none. */
    [[nodiscard]] std::uint64_t connectionNumber() const noexcept { return m_connectionNumber; }

    /** Closes the connection and discards the handler of an exchange in progress. */
    void close() noexcept;

    [[nodiscard]] const endpoint &peer() const noexcept { return m_peer; }

private:
    boost::asio::io_context *m_loop;
    endpoint m_peer;
    std::shared_ptr<internal::http_connection> m_connection;
    std::uint64_t m_connectionNumber{0};
};

} // namespace azurelb
