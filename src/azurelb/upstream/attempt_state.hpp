#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** How far an attempt on an upstream got. */
enum class attempt_state {
    /** No byte of the request was handed to the connection. The request has not run. */
    not_sent,
    /**
     * Not sent although a connection was available: the request was abandoned, the view is
     * unconfirmed, the key was withdrawn, or it is too late to send.
     */
    withheld,
    /** The upstream reported that it refused the request without running it. */
    refused,
    /** A complete response to this request was received. */
    answered,
    /** Bytes were sent but no complete response was received. The request may have run. */
    unknown
};

} // namespace azurelb
