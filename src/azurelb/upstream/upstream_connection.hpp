#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/upstream/connection_options.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace azurelb {

/**
 * One connection to one upstream, with one request on it at a time. Once an exchange has ended in
 * anything but a whole answer to its own request, isReusable() is false for good.
 */
class upstream_connection
{
public:
    upstream_connection(boost::asio::io_context &loop, const clock_source &clock,
                        const connection_options &options, std::string address);
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /** True if the connection is open now. */
    [[nodiscard]] boost::asio::awaitable<bool> connect();

    /**
     * Sends the request and reads the whole answer. If the answer carries an X-Request-Id, it must
     * be the request's own. A cancelled exchange ends by operation_aborted.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result> exchange(const http_request &request,
                                                                   time_point deadline);

    /**
     * Closes the sending side while an exchange goes on, which may still end by an answer. The
     * connection is not reusable afterwards.
     */
    void abandon() noexcept;

    /** Closes the connection; an exchange under way ends without an answer. */
    void close() noexcept;

    /** True if the connection is open, nothing is wrong with it and nothing unasked was received.
     */
    [[nodiscard]] bool isReusable();

    /** When the last whole answer came, or when the connection was made. */
    [[nodiscard]] time_point lastVerifiedAt() const noexcept { return m_lastVerifiedAt; }

private:
    [[nodiscard]] boost::asio::awaitable<exchange_result> readResponse(const http_request &request);
    [[nodiscard]] exchange_result classifyResponse(const http_request &request,
                                                   http_response response);
    void setSocketOptions();

    const clock_source &m_clock;
    const connection_options &m_options;
    std::string m_address;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{};
    time_point m_lastVerifiedAt{};
    bool m_reusable{false};
    bool m_abandoned{false};
};

} // namespace azurelb
