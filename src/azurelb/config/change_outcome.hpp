#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/wire/config.pb.h>

#include <string>

namespace azurelb {

/** Why a change or a fleet write was not made. */
enum class change_error {
    none,
    /** The change is wrong in itself; the detail names the field, its value and what is allowed. */
    invalid,
    /** The entity was changed by someone else; the detail tells by whom, when and to what. */
    conflict,
    /** The change would break an availability budget; the detail tells which. */
    budget,
    /**
     * The store cannot be reached: this call made no change. Of an earlier call with the same id it
     * tells nothing.
     */
    unavailable,
    /** It cannot be told whether the change was made; asking again with the same id settles it. */
    unknown
};

/** What became of an operator's change. The result is valid only if the error is none. */
struct change_outcome
{
    change_error error{change_error::none};
    std::string detail{};
    wire::change_result result{};
};

/** What became of a write of the fleet document. */
struct fleet_outcome
{
    change_error error{change_error::none};
    std::string detail{};
    /** Revision of the written document, valid only if the error is none. */
    revision at{};
};

} // namespace azurelb
