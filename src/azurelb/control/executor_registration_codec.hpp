#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/**
 * Encodes a registration as JSON for the store, so that a later owner can reach an executor that
 * the platform's directory no longer lists.
 */
[[nodiscard]] std::string encodeRegistration(const executor_registration &info);

/** Decodes a stored registration; empty if the value is damaged. */
[[nodiscard]] std::optional<executor_registration> decodeRegistration(std::string_view text);

} // namespace azurelb
