#pragma once

#include <string>

namespace azurelb {

/** One setting that is wrong. */
struct settings_error
{
    std::string setting{};
    std::string value{};
    /** What would be right, in words. */
    std::string allowed{};
};

} // namespace azurelb
