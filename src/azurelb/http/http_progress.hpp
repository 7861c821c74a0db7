#pragma once

#include <azurelb/http/fwd.hpp>

namespace azurelb {

/** How far an HTTP exchange came before it ended. */
enum class http_progress {
    /** No byte of the request left this process: it had no effect. */
    not_sent,
    /** Bytes were sent and no whole answer came: the effect is unknown. */
    sent,
    /** A whole answer came. */
    answered
};

} // namespace azurelb
