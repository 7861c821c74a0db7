#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** How one attempt at one upstream ended, as far as it tells of the upstream's health. */
enum class attempt_outcome {
    /** A whole answer came. */
    answered,
    /** No connection, a broken, late or wrong answer, or an answer that reports the upstream's own
       failure. */
    failed,
    /** The upstream refused before it ran the request. */
    refused,
    /** The caller went away; it tells nothing of the upstream. */
    cancelled
};

} // namespace azurelb
