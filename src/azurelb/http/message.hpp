#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>

namespace azurelb {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * Handles one request and returns the response. It is cancelled when the caller disconnects; it
 * then ends with boost::system::system_error holding operation_aborted, and no response is written.
 */
using request_handler = std::function<boost::asio::awaitable<http_response>(const http_request &)>;

} // namespace azurelb
