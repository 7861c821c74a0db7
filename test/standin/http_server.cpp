#include "http_server.hpp"
#include "response_writer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace azurelb::standin {

namespace {

constexpr std::uint64_t maxBodyBytes{64U << 20U};
constexpr auto tupled = asio::as_tuple(asio::use_awaitable);

/** Waits; nothing at all if the time is zero. */
awaitable<void> delay(asio::io_context &loop, std::chrono::milliseconds time)
{
    if (time.count() == 0)
        co_return;
    asio::steady_timer timer{loop, time};
    co_await timer.async_wait(tupled);
}

/** Uses up one of a counted fault. */
[[nodiscard]] bool take(std::uint32_t count, wire::standin::fault &fault,
                        void (wire::standin::fault::*set)(std::uint32_t))
{
    if (count == 0)
        return false;
    (fault.*set)(count - 1);
    return true;
}

void reset(boost::beast::tcp_stream &connection)
{
    boost::system::error_code ignored;
    connection.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    connection.socket().close(ignored);
}

} // namespace

http_server::http_server(asio::io_context &loop, const tcp::endpoint &address, mode &served)
    : m_loop{loop}
    , m_mode{served}
    , m_listener{loop, address, [this](tcp::socket socket) {
                     accepted(std::move(socket));
                 }}
{
    m_mode.observe([this] { applyFault(); });
}

void http_server::accepted(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    auto connection = std::make_shared<stream>(std::move(socket));
    m_connections.insert(connection);
    auto &status = m_mode.status();
    status.set_connections(status.connections() + 1);
    status.set_most_connections(std::max(status.most_connections(), status.connections()));
    asio::co_spawn(m_loop, serve(std::move(connection)), asio::detached);
}

awaitable<void> http_server::serve(stream_ptr connection)
{
    boost::beast::flat_buffer buffer;
    for (bool open = true; open;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        const auto [error, bytes] = co_await http::async_read(*connection, buffer, parser, tupled);
        if (error)
            break;
        const request asked = parser.release();
        open = co_await serveOne(*connection, asked);
    }
    boost::system::error_code ignored;
    connection->socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection->socket().close(ignored);
    m_connections.erase(connection);
    m_mode.status().set_connections(m_mode.status().connections() - 1);
}

awaitable<bool> http_server::serveOne(stream &connection, const request &asked)
{
    const std::string_view target{asked.target().data(), asked.target().size()};
    if (target.starts_with(controlPrefix)) {
        response answer = m_mode.control(target.substr(controlPrefix.size()), asked);
        co_return co_await writeResponse(connection, asked, std::move(answer));
    }
    m_mode.status().set_requests(m_mode.status().requests() + 1);
    if (m_mode.fault().silent()) {
        co_await swallow(connection);
        co_return false;
    }
    co_await delay(m_loop, std::chrono::milliseconds{m_mode.fault().slow_ms()});
    response answer = co_await m_mode.answer(asked);
    co_await delay(m_loop, std::chrono::milliseconds{m_mode.fault().late_ms()});
    co_return co_await deliver(connection, asked, std::move(answer));
}

awaitable<bool> http_server::deliver(stream &connection, const request &asked, response answer)
{
    auto &fault = m_mode.fault();
    if (take(fault.answer_lost(), fault, &wire::standin::fault::set_answer_lost))
        co_return false;
    if (fault.failing() == wire::standin::FAILING_RESET) {
        reset(connection);
        co_return false;
    }
    if (fault.failing() == wire::standin::FAILING_ERROR)
        answer = makeResponse(http::status::internal_server_error, "{}");
    if (take(fault.truncated(), fault, &wire::standin::fault::set_truncated)) {
        co_await writeTruncatedResponse(connection, std::move(answer));
        co_return false;
    }
    if (take(fault.crossed(), fault, &wire::standin::fault::set_crossed))
        std::swap(answer, m_previous);
    else
        m_previous = answer;
    co_return co_await writeResponse(connection, asked, std::move(answer));
}

awaitable<void> http_server::swallow(stream &connection)
{
    std::array<char, 4096> ignored{};
    connection.expires_never();
    while (true) {
        const auto [error, bytes] =
            co_await connection.async_read_some(asio::buffer(ignored), tupled);
        if (error)
            co_return;
    }
}

void http_server::applyFault()
{
    const bool down = m_mode.fault().down();
    m_listener.refuse(down);
    if (!down)
        return;
    for (const stream_ptr &connection : m_connections) {
        boost::system::error_code ignored;
        connection->socket().close(ignored);
    }
}

} // namespace azurelb::standin
