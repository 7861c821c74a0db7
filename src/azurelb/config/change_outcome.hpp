#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/wire/config.pb.h>

#include <string>

namespace azurelb {

/** Error of a change or of a fleet write. */
enum class change_error {
    none,
    /** The change violates a rule; the detail names the field, its value and what is allowed. */
    invalid,
    /** Another change modified the entity; the detail says who made it, when, and the new value. */
    conflict,
    /** The change would break an availability budget; the detail says which. */
    budget,
    /**
     * The store cannot be reached and this call made no change. The outcome of an earlier call with
     * the same id remains unknown.
     */
    unavailable,
    /**
     * It is not known whether the change was made; a retry with the same id returns the outcome.
     */
    unknown
};

/** Outcome of an operator's change. The result is valid only if the error is none. */
struct change_outcome
{
    change_error error{change_error::none};
    std::string detail{};
    wire::change_result result{};
};

/** Outcome of a write of the fleet document. */
struct fleet_outcome
{
    change_error error{change_error::none};
    std::string detail{};
    /** Revision of the written document, valid only if the error is none. */
    revision at{};
};

} // namespace azurelb
