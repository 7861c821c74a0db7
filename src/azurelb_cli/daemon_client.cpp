#include <azurelb/http/endpoint.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb_cli/command_error.hpp>
#include <azurelb_cli/daemon_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace azurelb::cli {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Stage that a call has reached. */
enum class call_progress { not_sent, sent, answered };

struct call_state
{
    call_progress progress{call_progress::not_sent};
    call_result result{};
};

asio::awaitable<void> sendRequest(const std::string &server, const http_request &request,
                                  std::chrono::milliseconds timeout, call_state &state)
{
    const auto endpoint = parseEndpoint(server);
    if (!endpoint)
        throw boost::system::system_error{asio::error::invalid_argument, server};
    boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    co_await stream.async_connect(*endpoint, asio::use_awaitable);
    state.progress = call_progress::sent;
    co_await http::async_write(stream, request, asio::use_awaitable);

    boost::beast::flat_buffer buffer;
    http_response response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    state.result.status = response.result_int();
    state.result.contentType = std::string{response[http::field::content_type]};
    state.result.body = std::move(response.body());
    state.progress = call_progress::answered;
}

call_state call(const std::string &server, const http_request &request,
                std::chrono::milliseconds timeout)
{
    asio::io_context loop;
    call_state state;
    asio::co_spawn(loop, sendRequest(server, request, timeout, state),
                   [](const std::exception_ptr &) {
                       // Errors are ignored: call_state::progress shows which stage was reached.
                   });
    loop.run();
    return state;
}

http_request makeRequest(http::verb method, std::string_view path, const std::string &body,
                         const std::string &token)
{
    constexpr unsigned http11 = 11;
    http_request request{method, path, http11};
    request.set(http::field::host, "azurelb");
    request.set(http::field::connection, "close");
    if (!token.empty())
        request.set(http::field::authorization, "Bearer " + token);
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return request;
}

std::string joinServers(const std::vector<std::string> &servers)
{
    std::string text;
    for (const std::string &each : servers)
        text += (text.empty() ? "" : ", ") + each;
    return text;
}

/**
 * Tries the servers in turn until one answers. isRetryable: try the next server also if the request
 * may have reached the previous one.
 */
call_result callWithFailover(const std::vector<std::string> &servers, const http_request &request,
                             std::chrono::milliseconds timeout, bool isRetryable)
{
    bool sent = false;
    for (const std::string &server : servers) {
        call_state state = call(server, request, timeout);
        if (state.progress == call_progress::answered)
            return std::move(state.result);
        sent = sent || state.progress == call_progress::sent;
        if (sent && !isRetryable)
            break;
    }
    if (sent && request.method() != http::verb::get)
        throw command_error{exit_code::unknown,
                            "no answer from " + joinServers(servers)
                                + "; the request may or may not have taken effect"};
    throw command_error{exit_code::unreachable,
                        "no response from any daemon at " + joinServers(servers)};
}

} // namespace

daemon_client::daemon_client(std::vector<std::string> servers, std::string token,
                             milliseconds timeout)
    : m_servers{std::move(servers)}
    , m_token{std::move(token)}
    , m_timeout{timeout}
{ }

call_result daemon_client::get(std::string_view path) const
{
    const auto request = makeRequest(http::verb::get, path, {}, m_token);
    return callWithFailover(m_servers, request, m_timeout, true);
}

call_result daemon_client::postIdempotent(std::string_view path, const std::string &body) const
{
    const auto request = makeRequest(http::verb::post, path, body, m_token);
    return callWithFailover(m_servers, request, m_timeout, true);
}

call_result daemon_client::postAtMostOnce(std::string_view path, const std::string &body,
                                          const std::string &idempotencyKey) const
{
    http_request request = makeRequest(http::verb::post, path, body, m_token);
    if (!idempotencyKey.empty())
        request.set("Idempotency-Key", idempotencyKey);
    return callWithFailover(m_servers, request, m_timeout, !idempotencyKey.empty());
}

} // namespace azurelb::cli
