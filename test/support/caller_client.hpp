#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace azurelb::test {

/** One request of a caller. */
struct call
{
    std::string queue{};
    std::string key{};
    std::string body{"{}"};
    /** Counted by the executors under X-Test-Id; empty for none. */
    std::string id{};
    /** Time that the executor takes; its own default if absent. */
    std::optional<std::chrono::milliseconds> runDuration{};
    std::optional<std::chrono::milliseconds> timeout{};
    std::string idempotencyKey{};
};

/** How far a request came at the caller's end. */
enum class call_progress {
    /** The connection could not be opened. */
    not_connected,
    /** The connection ended before the whole answer. */
    connection_lost,
    answered
};

/** What a caller got. */
struct call_answer
{
    call_progress progress{call_progress::not_connected};
    boost::beast::http::response<boost::beast::http::string_body> response{};

    [[nodiscard]] unsigned status() const
    {
        return progress == call_progress::answered ? response.result_int() : 0;
    }

    /** What the problem document says of the run; empty if the answer is none. */
    [[nodiscard]] std::string runStatus() const;
};

/** A blocking HTTP client with one connection, which it keeps open as long as the server does. */
class caller_client
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    explicit caller_client(endpoint server)
        : m_server{std::move(server)}
    { }

    [[nodiscard]] call_answer send(const call &callerRequest);
    [[nodiscard]] call_answer send(request message);

    /** Sends without waiting for the answer; false if that fails. */
    [[nodiscard]] bool sendWithoutWaiting(const call &callerRequest);

    /** Closes the connection, also with an answer outstanding. */
    void close();

    /** Where the next connection goes. */
    void setServer(endpoint server) { m_server = std::move(server); }

private:
    [[nodiscard]] bool connect();
    [[nodiscard]] bool write(request &message);
    [[nodiscard]] bool read(call_answer &answer);

    endpoint m_server;
    boost::asio::io_context m_loop;
    boost::beast::tcp_stream m_stream{m_loop};
    boost::beast::flat_buffer m_buffer;
    bool m_open{false};
};

} // namespace azurelb::test
