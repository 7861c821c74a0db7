#pragma once

#include <azurelb/config/change_outcome.hpp>

#include <string>

namespace azurelb {

/** boost::leaf error object for a change that cannot be applied to a document. */
struct change_failure
{
    change_error error{change_error::invalid};
    /** Names the field, its value and the allowed values. */
    std::string detail{};
    /** The entity that does not have the expected generation; empty for other errors. */
    std::string entity{};
};

} // namespace azurelb
