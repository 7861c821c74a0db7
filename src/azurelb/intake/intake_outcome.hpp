#pragma once

#include <azurelb/intake/fwd.hpp>

namespace azurelb {

/** Outcome of a caller's operation on a job. */
enum class intake_outcome {
    /** Stored durably. */
    done,
    /** The store rejected it; it has had no effect and will have none. */
    refused,
    /** The store did not answer; it may have taken effect or may still do so. */
    unknown,
    /** The job does not exist. */
    missing,
    /** The job was rejected when it was submitted earlier. */
    rejected_before,
    /** The job was cancelled before it was accepted; it has not run and will not. */
    cancelled_before
};

} // namespace azurelb
