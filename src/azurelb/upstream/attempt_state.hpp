#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** How far one attempt at one upstream has come. */
enum class attempt_state {
    /** No byte of the request has been handed to the connection. It has not run. */
    not_sent,
    /** Held back just before it was sent: the view is unconfirmed, or the deadline has passed. */
    withheld,
    /** The upstream said that it refused the request before it ran. */
    refused,
    /** A whole answer to this very request came. */
    answered,
    /** Bytes were sent and no whole answer came. It may have run. */
    unknown
};

} // namespace azurelb
