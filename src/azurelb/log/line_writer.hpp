#pragma once

#include <string_view>

namespace azurelb {

/**
 * Writes one line to the descriptor if that does not block; false if the line was left out. A line
 * is cut to the size that a pipe takes as a whole.
 */
[[nodiscard]] bool writeLine(int descriptor, std::string_view line) noexcept;

} // namespace azurelb
