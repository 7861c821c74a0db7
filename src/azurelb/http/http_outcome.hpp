#pragma once

#include <azurelb/http/http_progress.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace azurelb {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/** How an HTTP exchange ended. The response is valid only if it was answered. */
struct http_outcome
{
    http_progress progress{http_progress::not_sent};
    http_response response{};
};

} // namespace azurelb
