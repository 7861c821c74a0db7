#pragma once

#include <cstddef>

namespace azurelb::internal {

/** Largest message that is sent or accepted. */
inline constexpr std::size_t maxMessageBytes{4U << 20U};

} // namespace azurelb::internal
