#pragma once

#include <azurelb/http/fwd.hpp>
#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace azurelb {

/**
 * HTTP/1.1 server on one address. It runs entirely on the given event loop. Each connection
 * processes one request at a time; the handler is called only after the request was read
 * completely.
 */
class http_server
{
public:
    using size_type = std::size_t;

    /** Binds to the address, "IP:PORT". Throws boost::system::system_error if that fails. */
    http_server(boost::asio::io_context &loop, const std::string &address,
                const http_limits &limits, request_handler handler);

    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    /** The port that the server listens on. */
    [[nodiscard]] std::uint16_t port() const;

    void start();

    /** From now on each response announces that its connection closes. */
    void announceClose() noexcept;

    /**
     * Stops listening. Connections close after their current response; idle ones are closed after
     * the grace period, and a request that arrives on them before that is still served.
     */
    void drain(std::chrono::milliseconds grace);

    /** Number of requests that are being read, handled or responded to. */
    [[nodiscard]] size_type inFlight() const noexcept;

    [[nodiscard]] size_type connections() const noexcept;

    /** Closes the listening socket and all connections at once. */
    void close() noexcept;

private:
    struct internals;
    std::shared_ptr<internals> m_internals;
};

} // namespace azurelb
