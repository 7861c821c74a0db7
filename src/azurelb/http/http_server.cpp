#include <azurelb/http/endpoint.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/http_session.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurelb {

namespace asio = boost::asio;
using asio::ip::tcp;

struct http_server::internals : public std::enable_shared_from_this<internals>
{
    internals(asio::io_context &onLoop, const http_limits &bounds, request_handler serve)
        : loop{onLoop}
        , acceptor{onLoop}
        , shared{std::make_shared<http_session::shared_state>(bounds, std::move(serve))}
    { }

    asio::awaitable<void> acceptConnections()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            boost::system::error_code failure;
            tcp::socket socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (!failure)
                serve(std::move(socket));
            else if (acceptor.is_open())
                co_await pauseAfterFailure();
        }
    }

    // The process is probably out of file descriptors; retrying at once would be a busy loop.
    asio::awaitable<void> pauseAfterFailure()
    {
        constexpr std::chrono::milliseconds acceptRetryDelay{50};
        asio::steady_timer timer{loop, acceptRetryDelay};
        co_await timer.async_wait(asio::use_awaitable);
    }

    void serve(tcp::socket socket)
    {
        if (shared->sessions.size() >= shared->limits.maxConnections)
            return;
        auto session = std::make_shared<http_session>(std::move(socket), shared);
        asio::co_spawn(loop, session->run(), asio::detached);
    }

    asio::io_context &loop;
    tcp::acceptor acceptor;
    std::shared_ptr<http_session::shared_state> shared;
};

http_server::http_server(asio::io_context &loop, const std::string &address,
                         const http_limits &limits, request_handler handler)
    : m_internals{std::make_shared<internals>(loop, limits, std::move(handler))}
{
    const auto parsed = parseEndpoint(address);
    if (!parsed)
        throw boost::system::system_error{asio::error::invalid_argument, address};
    const tcp::endpoint &endpoint = *parsed;
    tcp::acceptor &acceptor = m_internals->acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.bind(endpoint);
    acceptor.listen();
}

http_server::~http_server()
{
    close();
}

std::uint16_t http_server::port() const
{
    return m_internals->acceptor.local_endpoint().port();
}

void http_server::start()
{
    asio::co_spawn(m_internals->loop, m_internals->acceptConnections(), asio::detached);
}

void http_server::announceClose() noexcept
{
    m_internals->shared->closing = true;
}

void http_server::drain(std::chrono::milliseconds grace)
{
    announceClose();
    boost::system::error_code ignored;
    m_internals->acceptor.close(ignored);
    auto timer = std::make_shared<asio::steady_timer>(m_internals->loop, grace);
    timer->async_wait([timer, shared = m_internals->shared](const boost::system::error_code &) {
        shared->closeIdle();
    });
}

http_server::size_type http_server::inFlight() const noexcept
{
    return m_internals->shared->inFlight;
}

http_server::size_type http_server::connections() const noexcept
{
    return m_internals->shared->sessions.size();
}

void http_server::close() noexcept
{
    boost::system::error_code ignored;
    m_internals->acceptor.close(ignored);
    m_internals->shared->closeAll();
}

} // namespace azurelb
