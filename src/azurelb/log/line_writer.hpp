#pragma once

#include <string_view>

namespace azurelb {

/**
 * Writes one line to the descriptor if that does not block; returns false if the line was not
 * written. A line longer than PIPE_BUF, the largest atomic write to a pipe, is truncated.
 */
[[nodiscard]] bool writeLine(int descriptor, std::string_view line) noexcept;

} // namespace azurelb
