#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/** HTTP/1.1 plumbing on loopback addresses, shared by the stand-ins. */
namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using steady = std::chrono::steady_clock;

inline milliseconds steadyNow()
{
    return std::chrono::duration_cast<milliseconds>(steady::now().time_since_epoch());
}

inline milliseconds unixNow()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

inline asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

inline response reply(unsigned status, const json::value &body)
{
    response made{http::int_to_status(status), 11};
    made.set(http::field::content_type, "application/json");
    made.body() = json::serialize(body);
    return made;
}

/** Value of a field of the query, with percent escapes decoded. */
inline std::string queryField(std::string_view target, std::string_view name)
{
    const auto begin = target.find('?');
    if (begin == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(begin + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name || equals == std::string_view::npos)
            continue;
        std::string out;
        for (std::size_t at = equals + 1; at < pair.size(); ++at) {
            if (pair[at] == '%' && at + 2 < pair.size()) {
                out +=
                    static_cast<char>(std::stoi(std::string{pair.substr(at + 1, 2)}, nullptr, 16));
                at += 2;
            } else {
                out += pair[at];
            }
        }
        return out;
    }
    return {};
}

/** Serves each connection with a handler until the peer closes it. */
class server
{
public:
    using handler = std::function<asio::awaitable<response>(const request &)>;

    server(asio::io_context &loop, handler serve)
        : m_acceptor{loop, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
        , m_serve{std::make_shared<handler>(std::move(serve))}
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay{true});
            asio::co_spawn(m_acceptor.get_executor(), converse(std::move(socket), m_serve),
                           asio::detached);
        }
    }

    static asio::awaitable<void> converse(tcp::socket socket, std::shared_ptr<handler> serve)
    {
        beast::flat_buffer buffer;
        try {
            while (true) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(64U << 20U);
                co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
                response made = co_await (*serve)(parser.get());
                made.keep_alive(true);
                made.prepare_payload();
                co_await http::async_write(socket, made, asio::use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            // The peer has closed the connection.
        }
    }

    tcp::acceptor m_acceptor;
    std::shared_ptr<handler> m_serve;
};

/** Status 0: no complete answer arrived within the time. */
struct answer
{
    unsigned status{0};
    std::string body{};
};

/** One call on a connection of its own, which is closed at the end or once the time is over. */
inline asio::awaitable<answer> call(const std::string &address, http::verb method,
                                    const std::string &target, const std::string &host,
                                    std::string body, milliseconds time, std::string key = {})
{
    const auto executor = co_await asio::this_coro::executor;
    const auto colon = address.find(':');
    const tcp::endpoint peer{asio::ip::make_address(address.substr(0, colon)),
                             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
    beast::tcp_stream stream{executor};
    stream.expires_after(time);
    try {
        co_await stream.async_connect(peer, asio::use_awaitable);
        request message{method, target, 11};
        message.set(http::field::host, host);
        message.set("X-Deadline-Ms", std::to_string(time.count()));
        if (!key.empty())
            message.set(http::field::authorization, "Token " + key);
        if (!body.empty())
            message.set(http::field::content_type, "application/json");
        message.body() = std::move(body);
        message.prepare_payload();
        co_await http::async_write(stream, message, asio::use_awaitable);
        beast::flat_buffer buffer;
        response received;
        co_await http::async_read(stream, buffer, received, asio::use_awaitable);
        co_return answer{received.result_int(), received.body()};
    } catch (const boost::system::system_error &) {
        co_return answer{};
    }
}

} // namespace review
