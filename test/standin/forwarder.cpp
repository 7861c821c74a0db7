#include "forwarder.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace azurelb::standin {

namespace {

constexpr auto tupled = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bufferBytes{64U << 10U};
constexpr std::chrono::milliseconds cutPollInterval{20};

} // namespace

forwarder::forwarder(asio::io_context &loop, const tcp::endpoint &address, tcp::endpoint target)
    : m_loop{loop}
    , m_target{std::move(target)}
    , m_listener{loop, address, [this](tcp::socket socket) {
                     accepted(std::move(socket));
                 }}
{ }

void forwarder::answer(const request &, answer_handler done)
{
    done(makeResponse(http::status::not_found, "{}"));
}

void forwarder::faultChanged()
{
    m_listener.refuse(fault().down() || fault().cut() == wire::standin::CUT_REFUSE_NEW);
    if (fault().cut() == wire::standin::CUT_SILENT_OLD) {
        for (const link_ptr &each : m_links)
            each->silent = true;
    }
    if (fault().down()) {
        for (const link_ptr &each : m_links)
            close(*each);
    }
}

void forwarder::accepted(tcp::socket socket)
{
    auto added = std::make_shared<link>(link{std::move(socket), tcp::socket{m_loop}});
    m_links.insert(added);
    auto &seen = status();
    seen.set_requests(seen.requests() + 1);
    seen.set_connections(static_cast<std::uint32_t>(m_links.size()));
    seen.set_most_connections(std::max(seen.most_connections(), seen.connections()));
    asio::co_spawn(m_loop, forward(std::move(added)), asio::detached);
}

asio::awaitable<void> forwarder::forward(link_ptr connection)
{
    co_await holdWhileCut(*connection);
    const auto [error] = co_await connection->far.async_connect(m_target, tupled);
    if (error) {
        close(*connection);
        m_links.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->near.set_option(tcp::no_delay{true}, ignored);
    connection->far.set_option(tcp::no_delay{true}, ignored);
    asio::co_spawn(m_loop, pump(connection, connection->near, connection->far), asio::detached);
    co_await pump(connection, connection->far, connection->near);
    m_links.erase(connection);
    status().set_connections(static_cast<std::uint32_t>(m_links.size()));
}

asio::awaitable<void> forwarder::pump(link_ptr connection, tcp::socket &from, tcp::socket &to)
{
    std::vector<char> buffer(bufferBytes);
    while (true) {
        const auto [readError, bytes] = co_await from.async_read_some(asio::buffer(buffer), tupled);
        co_await holdWhileCut(*connection);
        if (readError)
            break;
        const auto [writeError, written] =
            co_await asio::async_write(to, asio::buffer(buffer.data(), bytes), tupled);
        if (writeError)
            break;
    }
    close(*connection);
}

asio::awaitable<void> forwarder::holdWhileCut(const link &connection)
{
    asio::steady_timer timer{m_loop};
    while (connection.silent || fault().cut() == wire::standin::CUT_ALL) {
        timer.expires_after(cutPollInterval);
        co_await timer.async_wait(tupled);
        if (!connection.near.is_open())
            co_return;
    }
}

void forwarder::close(link &connection)
{
    boost::system::error_code ignored;
    connection.near.close(ignored);
    connection.far.close(ignored);
}

} // namespace azurelb::standin
