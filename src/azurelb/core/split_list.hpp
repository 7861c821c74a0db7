#pragma once

#include <string>
#include <vector>

namespace azurelb {

/** Splits the text at the separator. Empty parts are left out. */
[[nodiscard]] std::vector<std::string> splitList(const std::string &text, char separator = ',');

} // namespace azurelb
