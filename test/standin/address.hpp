#pragma once

#include "http_types.hpp"

#include <string_view>
#include <vector>

namespace azurelb::standin {

/** Parses an address IP:PORT. Throws std::invalid_argument if the text is malformed. */
[[nodiscard]] tcp::endpoint parseAddress(std::string_view text);

/** Parses a comma-separated list of addresses; throws as parseAddress does. */
[[nodiscard]] std::vector<tcp::endpoint> parseAddresses(std::string_view text);

} // namespace azurelb::standin
