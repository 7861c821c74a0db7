#pragma once

#include "http_types.hpp"

#include <string_view>
#include <vector>

namespace azurelb::standin {

/** The address written as IP:PORT. Throws std::invalid_argument if it is not one. */
[[nodiscard]] tcp::endpoint parseAddress(std::string_view text);

/** The addresses written with commas between them. */
[[nodiscard]] std::vector<tcp::endpoint> parseAddresses(std::string_view text);

} // namespace azurelb::standin
