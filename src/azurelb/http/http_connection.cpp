#include <azurelb/http/http_connection.hpp>
#include <azurelb/http/socket_options.hpp>

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace azurelb::internal {

namespace {

constexpr std::uint64_t maxAnswerBytes{32U << 20U};
constexpr std::chrono::seconds maxIdleTime{30};

} // namespace

http_connection::http_connection(boost::asio::io_context &loop, const endpoint &peer)
    : m_socket{loop}
    , m_peer{peer}
    , m_deadline{loop}
{ }

bool http_connection::reusable() noexcept
{
    return !m_closed && m_socket.is_open() && isIdleConnectionAlive(m_socket);
}

void http_connection::call(http_request request, http_timeouts timeouts, http_handler done)
{
    m_request = std::move(request);
    m_done = std::move(done);
    m_end = std::chrono::steady_clock::now() + timeouts.total;
    if (m_socket.is_open())
        write();
    else
        connect(std::min(timeouts.connect, timeouts.total));
}

void http_connection::close() noexcept
{
    m_done = nullptr;
    shut();
}

void http_connection::shut() noexcept
{
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
    m_deadline.cancel();
}

void http_connection::connect(std::chrono::milliseconds timeout)
{
    startDeadline(timeout);
    m_socket.async_connect(
        m_peer, [self = shared_from_this()](error_code error) { self->connected(error); });
}

void http_connection::connected(error_code error)
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
    const auto left = m_end - std::chrono::steady_clock::now();
    startDeadline(std::chrono::ceil<std::chrono::milliseconds>(left));
    boost::beast::http::async_write(
        m_socket, m_request, [self = shared_from_this()](error_code error, std::size_t bytes) {
            self->written(error, bytes);
        });
}

void http_connection::written(error_code error, std::size_t bytes)
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
    m_parser->body_limit(maxAnswerBytes);
    boost::beast::http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->answered(error); });
}

void http_connection::answered(error_code error)
{
    // Without a length the end of the answer cannot be told from a lost connection.
    if (error || m_closed || m_parser->need_eof()) {
        fail(http_progress::sent);
        return;
    }
    http_outcome outcome{http_progress::answered, m_parser->release()};
    if (outcome.response.keep_alive() && m_buffer.size() == 0)
        waitIdle();
    else
        shut();
    finish(std::move(outcome));
}

void http_connection::startDeadline(std::chrono::milliseconds timeout)
{
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([self = shared_from_this()](error_code error) {
        // The operation under way then ends with an error and tells how far the exchange came.
        if (!error && self->isOver())
            self->shut();
    });
}

void http_connection::waitIdle()
{
    m_deadline.expires_after(maxIdleTime);
    m_deadline.async_wait([self = weak_from_this()](error_code error) {
        const auto connection = self.lock();
        if (!error && connection && connection->isOver())
            connection->shut();
    });
}

bool http_connection::isOver() const noexcept
{
    return m_deadline.expiry() <= std::chrono::steady_clock::now();
}

void http_connection::finish(http_outcome &&outcome)
{
    const http_handler done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(outcome));
}

void http_connection::fail(http_progress progress)
{
    shut();
    finish({progress, {}});
}

} // namespace azurelb::internal
