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
    m_listener.setRefusing(fault().down() || fault().cut() == wire::standin::CUT_REFUSE_NEW);
    if (fault().cut() == wire::standin::CUT_SILENT_OLD) {
        for (const pair_ptr &each : m_connections)
            each->silent = true;
    }
    if (fault().down()) {
        for (const pair_ptr &each : m_connections)
            close(*each);
    }
}

void forwarder::accepted(tcp::socket socket)
{
    auto added =
        std::make_shared<connection_pair>(connection_pair{std::move(socket), tcp::socket{m_loop}});
    m_connections.insert(added);
    auto &seen = status();
    seen.set_requests(seen.requests() + 1);
    seen.set_connections(static_cast<std::uint32_t>(m_connections.size()));
    seen.set_most_connections(std::max(seen.most_connections(), seen.connections()));
    asio::co_spawn(m_loop, forward(std::move(added)), asio::detached);
}

asio::awaitable<void> forwarder::forward(pair_ptr connection)
{
    co_await waitWhileCut(*connection);
    const auto [error] = co_await connection->server.async_connect(m_target, tupled);
    if (error) {
        close(*connection);
        m_connections.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(tcp::no_delay{true}, ignored);
    connection->server.set_option(tcp::no_delay{true}, ignored);
    asio::co_spawn(m_loop, copyBytes(connection, connection->client, connection->server),
                   asio::detached);
    co_await copyBytes(connection, connection->server, connection->client);
    m_connections.erase(connection);
    status().set_connections(static_cast<std::uint32_t>(m_connections.size()));
}

asio::awaitable<void> forwarder::copyBytes(pair_ptr connection, tcp::socket &from, tcp::socket &to)
{
    std::vector<char> buffer(bufferBytes);
    while (true) {
        const auto [readError, bytes] = co_await from.async_read_some(asio::buffer(buffer), tupled);
        co_await waitWhileCut(*connection);
        if (readError)
            break;
        const auto [writeError, written] =
            co_await asio::async_write(to, asio::buffer(buffer.data(), bytes), tupled);
        if (writeError)
            break;
    }
    close(*connection);
}

asio::awaitable<void> forwarder::waitWhileCut(const connection_pair &connection)
{
    asio::steady_timer timer{m_loop};
    while (connection.silent || fault().cut() == wire::standin::CUT_ALL) {
        timer.expires_after(cutPollInterval);
        co_await timer.async_wait(tupled);
        if (!connection.client.is_open())
            co_return;
    }
}

void forwarder::close(connection_pair &connection)
{
    boost::system::error_code ignored;
    connection.client.close(ignored);
    connection.server.close(ignored);
}

} // namespace azurelb::standin
