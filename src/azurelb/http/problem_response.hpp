#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/http/problem.hpp>

#include <string>

namespace azurelb {

/** The answer as a problem document (RFC 9457) with a member `run`. */
[[nodiscard]] http_response problemResponse(const problem &error);

/** An answer with a body of JSON. */
[[nodiscard]] http_response jsonResponse(boost::beast::http::status status, std::string body);

} // namespace azurelb
