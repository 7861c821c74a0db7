#pragma once

#include <string>
#include <string_view>

namespace azurelb {

/** SHA-256 (FIPS 180-4) of a team's secret, 32 bytes; the only form in which secrets are stored. */
[[nodiscard]] std::string secretDigest(std::string_view secret);

} // namespace azurelb
