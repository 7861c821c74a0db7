#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace azurelb {

/** Limits for the connections from one daemon to upstreams. */
struct connection_options
{
    /** Maximum number of connections to one upstream, in use and idle. */
    std::size_t maxPerUpstream{7};
    std::chrono::milliseconds connectTimeout{500};
    /** An idle connection whose last response is older than this is closed. */
    std::chrono::milliseconds maxIdleTime{15'000};
    /** Maximum age of the last response for a connection to count as recently verified. */
    std::chrono::milliseconds maxVerifiedAge{1'000};
    /** Closes the connection if sent data stays unacknowledged for this long (TCP_USER_TIMEOUT). */
    std::chrono::milliseconds unacknowledgedTimeout{3'000};
    /** Maximum body size of a response. */
    std::uint64_t maxResponseBytes{16 * 1024 * 1024};
};

} // namespace azurelb
