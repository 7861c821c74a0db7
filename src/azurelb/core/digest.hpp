#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace azurelb {

/** SHA-256 (FIPS 180-4) of the bytes, 32 bytes. */
[[nodiscard]] std::string sha256(std::string_view bytes);

/**
 * SHA-256 of the parts, 32 bytes. Each part is prefixed with its length, so that different lists of
 * parts never hash the same input.
 */
[[nodiscard]] std::string digestOf(std::initializer_list<std::string_view> parts);

/** Lower-case hexadecimal digits of the bytes. */
[[nodiscard]] std::string toHex(std::string_view bytes);

} // namespace azurelb
