#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** What a later owner needs to reach an executor that has left the platform's directory. */
[[nodiscard]] std::string encodeRegistration(const executor_registration &info);

/** Reads an entry of the roster; nothing if it is damaged. */
[[nodiscard]] std::optional<executor_registration> decodeRegistration(std::string_view text);

} // namespace azurelb
