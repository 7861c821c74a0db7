#pragma once

#include <azurelb/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace azurelb {

/** A VM that may receive new requests of a queue. */
struct upstream_vm
{
    vm_id vm{};
    /** IP address and port of its executor, as IP:PORT. */
    std::string address{};
    zone_name zone{};
    rack_name rack{};
    /** Number of requests that the executor runs concurrently. */
    std::uint32_t slots{};

    [[nodiscard]] friend bool operator==(const upstream_vm &, const upstream_vm &) = default;
};

} // namespace azurelb
