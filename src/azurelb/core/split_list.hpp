#pragma once

#include <string>
#include <vector>

namespace azurelb {

/** The parts of the text between separators, without empty ones. */
[[nodiscard]] std::vector<std::string> splitList(const std::string &text, char separator = ',');

} // namespace azurelb
