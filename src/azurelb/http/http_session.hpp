#pragma once

#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <unordered_set>

namespace azurelb {

/** One connection of a caller. The object stays alive until run() ends. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    /** State shared by all sessions of one server. */
    struct shared_state
    {
        shared_state(const http_limits &bounds, request_handler serve);

        /** Closes connections that are waiting for a request. */
        void closeIdle() noexcept;
        void closeAll() noexcept;

        http_limits limits;
        request_handler handler;
        std::unordered_set<http_session *> sessions{};
        std::size_t inFlight{0};
        /** True if each response announces that its connection closes. */
        bool closing{false};
    };

    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<shared_state> shared);
    http_session(const http_session &) = delete;
    http_session &operator=(const http_session &) = delete;
    ~http_session();

    /** Serves requests until the connection is closed. */
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] boost::asio::awaitable<bool> waitForRequest();
    [[nodiscard]] boost::asio::awaitable<bool> serveRequest();
    [[nodiscard]] boost::asio::awaitable<bool> readRequest(request_parser &parser);
    /** Cancels pending reads after the given time, but keeps the connection open for a response. */
    void startReadTimer(std::chrono::milliseconds time);
    [[nodiscard]] boost::asio::awaitable<std::optional<http_response>>
    handle(const http_request &request);
    /** Returns when the caller disconnects; otherwise waits until cancelled. */
    [[nodiscard]] boost::asio::awaitable<void> waitForDisconnect();
    [[nodiscard]] boost::asio::awaitable<bool> write(http_response response, bool keepAlive);
    [[nodiscard]] boost::asio::awaitable<void> writeContinue();
    /**
     * Discards remaining input before closing. Closing with unread data would reset the connection,
     * and the caller might not get the response.
     */
    [[nodiscard]] boost::asio::awaitable<void> linger();
    [[nodiscard]] boost::asio::awaitable<void> rejectRequest(boost::system::error_code failure);
    void close() noexcept;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{};
    std::shared_ptr<shared_state> m_shared;
    boost::asio::steady_timer m_readTimer;
    bool m_idle{true};
    bool m_timedOut{false};
};

} // namespace azurelb
