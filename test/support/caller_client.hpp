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

/** Parameters of a request of a caller. */
struct call
{
    std::string queue{};
    std::string key{};
    std::string body{"{}"};
    /** X-Test-Id, under which the executors count runs; not sent if empty. */
    std::string id{};
    /** Run time at the executor; the executor uses its default if absent. */
    std::optional<std::chrono::milliseconds> runDuration{};
    std::optional<std::chrono::milliseconds> timeout{};
    std::string idempotencyKey{};
};

/** Progress of a request as seen by the caller. */
enum class call_progress {
    /** No connection could be established. */
    not_connected,
    /** The connection ended before the complete response arrived. */
    connection_lost,
    answered
};

/** Result of a request. */
struct call_answer
{
    call_progress progress{call_progress::not_connected};
    boost::beast::http::response<boost::beast::http::string_body> response{};

    [[nodiscard]] unsigned status() const
    {
        return progress == call_progress::answered ? response.result_int() : 0;
    }

    /** Field "run" of the problem document; empty if the response is not one. */
    [[nodiscard]] std::string runStatus() const;
};

/** Blocking HTTP client that reuses its connection as long as the server keeps it open. */
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

    /** Sends the request without reading the response; returns false on failure. */
    [[nodiscard]] bool sendWithoutWaiting(const call &callerRequest);

    /** Closes the connection, even while a response is outstanding. */
    void close();

    /** Sets the server of the next connection. */
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
