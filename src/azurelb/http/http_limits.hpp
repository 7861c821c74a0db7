#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace azurelb {

/** Limits of an http_server. */
struct http_limits
{
    /** Maximum size of the request line and header fields. */
    std::uint32_t maxHeadBytes{16 * 1024};
    std::uint64_t maxBodyBytes{8 * 1024 * 1024};
    std::size_t maxConnections{4096};
    /** From the first byte of the head to its end. */
    std::chrono::milliseconds headTimeout{10'000};
    /** From the end of the head to the end of the body. */
    std::chrono::milliseconds bodyTimeout{30'000};
    /** Between a response and the next request on the same connection. */
    std::chrono::milliseconds idleTimeout{75'000};
    std::chrono::milliseconds writeTimeout{30'000};
};

} // namespace azurelb
