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
 * One connection to one upstream, with at most one request in progress. After an exchange without a
 * complete response to its own request, isReusable() stays false.
 */
class upstream_connection
{
public:
    upstream_connection(boost::asio::io_context &loop, const clock_source &clock,
                        const connection_options &options, std::string address);
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /** Opens the connection; false if that fails or times out. */
    [[nodiscard]] boost::asio::awaitable<bool> connect();

    /**
     * Sends the request and reads the complete response. If the response has an X-Request-Id, it
     * must equal that of the request. A cancelled exchange ends with operation_aborted.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result> exchange(const http_request &request,
                                                                   time_point deadline);

    /**
     * Closes the sending side; an exchange in progress may still receive its response. The
     * connection is not reusable afterwards.
     */
    void abandon() noexcept;

    /** Closes the connection; an exchange in progress ends without a response. */
    void close() noexcept;

    /**
     * True if the connection is open, its last exchange permits reuse, and no unexpected data was
     * received.
     */
    [[nodiscard]] bool isReusable();

    /** Time of the last complete response, or of connecting if there was none. */
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
