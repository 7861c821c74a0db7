#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/**
 * Returns whether the registration can name an executor: an address that can be connected to, and
 * names that fit into a key of the store and a header field. Others may have written it.
 */
[[nodiscard]] bool isWellFormed(const executor_registration &info);

/**
 * Encodes a registration as JSON for the store, so that a later owner can reach an executor that
 * the platform's directory no longer lists.
 */
[[nodiscard]] std::string encodeRegistration(const executor_registration &info);

/** Decodes a stored registration; empty if the value is damaged or not well formed. */
[[nodiscard]] std::optional<executor_registration> decodeRegistration(std::string_view text);

} // namespace azurelb
