#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace azurelb::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/** Returns a JSON response with the given status. */
[[nodiscard]] inline response makeResponse(http::status status, std::string body)
{
    constexpr unsigned httpVersion = 11;
    response made{status, httpVersion};
    made.set(http::field::content_type, "application/json");
    made.body() = std::move(body);
    return made;
}

/** Formats the endpoint as IP:PORT. */
[[nodiscard]] inline std::string toString(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace azurelb::standin
