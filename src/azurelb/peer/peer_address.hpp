#pragma once

#include <azurelb/core/identifier.hpp>

#include <string>

namespace azurelb {

/** Address on which a peer listens for messages. */
struct peer_address
{
    vm_id vm;
    /** IP:PORT. */
    std::string address;

    [[nodiscard]] friend bool operator==(const peer_address &, const peer_address &) = default;
};

} // namespace azurelb
