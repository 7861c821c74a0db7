#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace azurelb {

/** Bounds on the connections from one daemon to upstreams. */
struct connection_options
{
    /** Connections to one upstream, in use and idle. */
    std::size_t maxPerUpstream{7};
    std::chrono::milliseconds connectTimeout{500};
    /** An idle connection older than this is closed. */
    std::chrono::milliseconds maxIdleTime{15'000};
    /** How long ago an answer may have come for a connection to count as proved alive. */
    std::chrono::milliseconds maxVerifiedAge{1'000};
    /** Sent bytes that stay unacknowledged for so long end the connection. */
    std::chrono::milliseconds unacknowledgedTimeout{3'000};
    std::uint64_t maxResponseBytes{16 * 1024 * 1024};
};

} // namespace azurelb
