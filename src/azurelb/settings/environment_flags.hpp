#pragma once

#include <azurelb/settings/settings_error.hpp>

#include <string_view>
#include <vector>

namespace azurelb {

/**
 * Sets the flags that the source file defines and the command line omits from their environment
 * variables, AZURELB_<FLAG IN UPPER CASE>. Returns an error for each variable whose value does not
 * have the flag's type.
 */
[[nodiscard]] std::vector<settings_error> setFlagsFromEnvironment(std::string_view sourceFile);

} // namespace azurelb
