#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** Outcome of one attempt, as an indicator of the upstream's health. */
enum class attempt_outcome {
    /** A complete response was received. */
    answered,
    /**
     * No connection, a truncated, late or mismatched response, or one with a server error status.
     */
    failed,
    /** The upstream refused the request without running it. */
    refused,
    /** The caller cancelled the request; this says nothing about the upstream. */
    cancelled
};

} // namespace azurelb
