#pragma once

#include <azurelb/core/identifier.hpp>

namespace azurelb {

/** One running daemon. */
struct member
{
    vm_id vm{};
    incarnation id{};

    [[nodiscard]] friend bool operator==(const member &, const member &) = default;
    [[nodiscard]] friend auto operator<=>(const member &, const member &) = default;
};

} // namespace azurelb
