#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>

namespace azurelb {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * Answers one request. It is cancelled when the caller goes away; it then ends by
 * boost::system::system_error with operation_aborted and no answer is written.
 */
using request_handler = std::function<boost::asio::awaitable<http_response>(const http_request &)>;

} // namespace azurelb
