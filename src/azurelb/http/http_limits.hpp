#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace azurelb {

/** Bounds on what a server reads from outside. */
struct http_limits
{
    /** Request line and header fields, in bytes. */
    std::uint32_t maxHeadBytes{16 * 1024};
    std::uint64_t maxBodyBytes{8 * 1024 * 1024};
    std::size_t maxConnections{4096};
    /** From the first byte of a head to its end. */
    std::chrono::milliseconds headTimeout{10'000};
    /** From the end of the head to the end of the body. */
    std::chrono::milliseconds bodyTimeout{30'000};
    /** Between an answer and the next request on the same connection. */
    std::chrono::milliseconds idleTimeout{75'000};
    std::chrono::milliseconds writeTimeout{30'000};
};

} // namespace azurelb
