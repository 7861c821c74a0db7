#pragma once

#include <string>

namespace azurelb {

/** A setting with an invalid value. */
struct settings_error
{
    std::string setting{};
    std::string value{};
    /** Description of the allowed values. */
    std::string allowed{};
};

} // namespace azurelb
