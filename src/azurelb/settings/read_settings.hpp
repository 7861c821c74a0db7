#pragma once

#include <azurelb/settings/settings.hpp>
#include <azurelb/settings/settings_error.hpp>

#include <variant>
#include <vector>

namespace azurelb {

/**
 * Reads the daemon's flags and, for flags that are not given, the environment variables
 * AZURELB_<FLAG IN UPPER CASE>. All errors are returned at once. Ends the process for --help and
 * --version, as gflags does.
 */
[[nodiscard]] std::variant<settings, std::vector<settings_error>> readSettings(int argc,
                                                                               char **argv);

} // namespace azurelb
