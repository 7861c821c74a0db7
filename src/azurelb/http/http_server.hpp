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
 * Serves HTTP/1.1 on one address. All of it runs on the event loop given. Each connection carries
 * one request at a time; a request is handed to the handler only when it is read whole.
 */
class http_server
{
public:
    using size_type = std::size_t;

    /** Throws boost::system::system_error if the address, "IP:PORT", cannot be listened on. */
    http_server(boost::asio::io_context &loop, const std::string &address,
                const http_limits &limits, request_handler handler);

    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    /** The port listened on. */
    [[nodiscard]] std::uint16_t port() const;

    void start();

    /** From now on each answer asks its caller to close the connection. */
    void announceClose() noexcept;

    /**
     * Stops listening. Connections end at the end of their answer; idle ones are closed after the
     * grace, and until then a request on them is still answered.
     */
    void drain(std::chrono::milliseconds grace);

    /** Requests that are being read, handled or answered. */
    [[nodiscard]] size_type inFlight() const noexcept;

    [[nodiscard]] size_type connections() const noexcept;

    /** Closes everything at once. */
    void close() noexcept;

private:
    struct internals;
    std::shared_ptr<internals> m_internals;
};

} // namespace azurelb
