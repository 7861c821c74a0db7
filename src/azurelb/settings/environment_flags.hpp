#pragma once

#include <azurelb/settings/settings_error.hpp>

#include <string_view>
#include <vector>

namespace azurelb {

/**
 * Sets each flag that the source file defines and the command line does not give from its
 * environment variable, AZURELB_<FLAG IN UPPER CASE>. Returns the variables whose value does not
 * fit the flag's type.
 */
[[nodiscard]] std::vector<settings_error> setFlagsFromEnvironment(std::string_view sourceFile);

} // namespace azurelb
