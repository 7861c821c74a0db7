#pragma once

#include "mode.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>

namespace azurelb::standin {

/** HTTP connection to a mode, subject to its faults. Lives until the connection closes. */
class session : public std::enable_shared_from_this<session>
{
public:
    using closed_handler = std::function<void(const std::shared_ptr<session> &)>;

    session(tcp::socket socket, mode &served, closed_handler closed);

    /** Reads the next request. */
    void read();

    /** Closes the connection at once. */
    void close();

private:
    using parser = http::request_parser<http::string_body>;
    using step = void (session::*)();

    void requestRead();
    void runRequest();
    void discardInput();
    void sendAnswer();
    void writeTruncated();
    void write();
    void reset();
    void finish();
    void runAfter(std::chrono::milliseconds time, step next);

    boost::beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    mode &m_mode;
    closed_handler m_closed;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    request m_request;
    response m_answer;
    std::array<char, 4096> m_discarded{};
};

} // namespace azurelb::standin
