#pragma once

#include <azurelb/intake/fwd.hpp>

namespace azurelb {

/** How a caller's operation on a job ended. */
enum class intake_outcome {
    /** Stored; it lasts. */
    done,
    /** The store did not take it: it has had no effect and will have none. */
    refused,
    /** The store did not answer: it may have taken effect, or may yet. */
    unknown,
    /** There is no such job. */
    missing
};

} // namespace azurelb
