#pragma once

#include <azurelb/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace azurelb {

/** A VM that may get new work of a queue. */
struct upstream_vm
{
    vm_id vm{};
    /** IP address and port of its executor. */
    std::string address{};
    zone_name zone{};
    rack_name rack{};
    /** Requests that the executor runs at one moment. */
    std::uint32_t slots{};

    [[nodiscard]] friend bool operator==(const upstream_vm &, const upstream_vm &) = default;
};

} // namespace azurelb
