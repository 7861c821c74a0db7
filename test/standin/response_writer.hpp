#pragma once

#include "http_types.hpp"

#include <boost/beast/core/tcp_stream.hpp>

namespace azurelb::standin {

/** Writes the answer to a request; true if the connection stays open after it. */
[[nodiscard]] awaitable<bool> writeResponse(boost::beast::tcp_stream &connection,
                                            const request &asked, response answer);

/** Writes an answer that announces one byte more than it has. */
[[nodiscard]] awaitable<void> writeTruncatedResponse(boost::beast::tcp_stream &connection,
                                                     response answer);

} // namespace azurelb::standin
