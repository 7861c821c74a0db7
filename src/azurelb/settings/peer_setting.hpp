#pragma once

#include <azurelb/core/identifier.hpp>

#include <string>

namespace azurelb {

/** A peer named in the settings. */
struct peer_setting
{
    vm_id vm{};
    /** "IP:PORT" at which it takes messages. */
    std::string address{};
};

} // namespace azurelb
