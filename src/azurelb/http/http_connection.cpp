#include <azurelb/http/http_connection.hpp>
#include <azurelb/http/socket_options.hpp>

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace azurelb::internal {

namespace {

constexpr std::uint64_t maxResponseBytes{32U << 20U};
constexpr std::chrono::seconds maxIdleTime{30};

} // namespace

http_connection::http_connection(boost::asio::io_context &loop, const endpoint &peer)
    : m_socket{loop}
    , m_peer{peer}
    , m_timer{loop}
{ }

bool http_connection::isReusable() noexcept
{
    return !m_closed && m_socket.is_open() && isIdleConnectionAlive(m_socket);
}

void http_connection::call(http_request request, http_timeouts timeouts, http_handler handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_exchangeDeadline = std::chrono::steady_clock::now() + timeouts.total;
    if (m_socket.is_open())
        write();
    else
        connect(std::min(timeouts.connect, timeouts.total));
}

void http_connection::close() noexcept
{
    m_handler = nullptr;
    closeSocket();
}

void http_connection::closeSocket() noexcept
{
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
}

void http_connection::connect(std::chrono::milliseconds timeout)
{
    startTimer(timeout);
    m_socket.async_connect(
        m_peer, [self = shared_from_this()](error_code error) { self->handleConnect(error); });
}

void http_connection::handleConnect(error_code error)
{
    if (error || m_closed) {
        fail(http_progress::not_sent);
        return;
    }
    setConnectionOptions(m_socket);
    write();
}

void http_connection::write()
{
    const auto timeLeft = m_exchangeDeadline - std::chrono::steady_clock::now();
    startTimer(std::chrono::ceil<std::chrono::milliseconds>(timeLeft));
    boost::beast::http::async_write(
        m_socket, m_request, [self = shared_from_this()](error_code error, std::size_t bytes) {
            self->handleWrite(error, bytes);
        });
}

void http_connection::handleWrite(error_code error, std::size_t bytes)
{
    const bool cancelled = m_closed || error == boost::asio::error::operation_aborted;
    if (error && bytes == 0 && !cancelled)
        fail(http_progress::not_sent);
    else if (error || m_closed)
        fail(http_progress::sent);
    else
        read();
}

void http_connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxResponseBytes);
    boost::beast::http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->handleRead(error); });
}

void http_connection::handleRead(error_code error)
{
    // Without a length, a complete response and a lost connection look alike.
    if (error || m_closed || m_parser->need_eof()) {
        fail(http_progress::sent);
        return;
    }
    http_outcome outcome{http_progress::answered, m_parser->release()};
    if (outcome.response.keep_alive() && m_buffer.size() == 0)
        startIdleTimer();
    else
        closeSocket();
    finish(std::move(outcome));
}

void http_connection::startTimer(std::chrono::milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        // Closing the socket makes the pending operation fail, and its handler reports the
        // progress.
        if (!error && self->isTimerExpired())
            self->closeSocket();
    });
}

void http_connection::startIdleTimer()
{
    m_timer.expires_after(maxIdleTime);
    m_timer.async_wait([self = weak_from_this()](error_code error) {
        const auto connection = self.lock();
        if (!error && connection && connection->isTimerExpired())
            connection->closeSocket();
    });
}

bool http_connection::isTimerExpired() const noexcept
{
    return m_timer.expiry() <= std::chrono::steady_clock::now();
}

void http_connection::finish(http_outcome &&outcome)
{
    const http_handler handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler(std::move(outcome));
}

void http_connection::fail(http_progress progress)
{
    closeSocket();
    finish({progress, {}});
}

} // namespace azurelb::internal
