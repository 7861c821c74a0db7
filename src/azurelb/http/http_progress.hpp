#pragma once

#include <azurelb/http/fwd.hpp>

namespace azurelb {

/** How far an HTTP exchange got before it ended. */
enum class http_progress {
    /** No byte of the request was sent; the request had no effect. */
    not_sent,
    /** Bytes were sent but no complete response was received; the effect is unknown. */
    sent,
    /** A complete response was received. */
    answered
};

} // namespace azurelb
