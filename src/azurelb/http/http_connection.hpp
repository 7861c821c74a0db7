#pragma once

#include <azurelb/http/http_outcome.hpp>
#include <azurelb/http/http_timeouts.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace azurelb::internal {

/** One TCP connection of an http_client. It stays closed after a failed exchange. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    http_connection(boost::asio::io_context &loop, const endpoint &peer);

    /** True if another exchange may start on this connection. */
    [[nodiscard]] bool isReusable() noexcept;

    /**
     * Sends the request, connecting first if necessary. Precondition: no exchange is in progress.
     */
    void call(http_request request, http_timeouts timeouts, http_handler handler);

    /** Closes the connection and discards the handler of an exchange in progress. */
    void close() noexcept;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    void connect(std::chrono::milliseconds timeout);
    void handleConnect(error_code error);
    void write();
    void handleWrite(error_code error, std::size_t bytes);
    void read();
    void handleRead(error_code error);
    void startTimer(std::chrono::milliseconds timeout);
    void startIdleTimer();
    void closeSocket() noexcept;
    /** False if the timer was restarted after its handler had been queued. */
    [[nodiscard]] bool isTimerExpired() const noexcept;
    void finish(http_outcome &&outcome);
    void fail(http_progress progress);

    boost::asio::ip::tcp::socket m_socket;
    endpoint m_peer;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_exchangeDeadline;
    http_request m_request;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    http_handler m_handler;
    bool m_closed{false};
};

} // namespace azurelb::internal
