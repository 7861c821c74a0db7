#pragma once

#include <azurelb/config/change_outcome.hpp>

#include <string>

namespace azurelb {

/** Error object of boost::leaf for a change that cannot be applied to a document. */
struct change_failure
{
    change_error error{change_error::invalid};
    /** Names the field, its value and what is allowed. */
    std::string detail{};
    /** The entity that has not the expected generation; empty for other faults. */
    std::string entity{};
};

} // namespace azurelb
