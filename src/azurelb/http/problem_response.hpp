#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/http/problem.hpp>

#include <string>

namespace azurelb {

/** Encodes the error as a problem document (RFC 9457) with the extension member `run`. */
[[nodiscard]] http_response problemResponse(const problem &error);

/** A response with a JSON body. */
[[nodiscard]] http_response jsonResponse(boost::beast::http::status status, std::string body);

} // namespace azurelb
