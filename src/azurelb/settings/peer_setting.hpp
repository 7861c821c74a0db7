#pragma once

#include <azurelb/core/identifier.hpp>

#include <string>

namespace azurelb {

/** A peer that the settings list. */
struct peer_setting
{
    vm_id vm{};
    /** IP:PORT on which it listens for messages. */
    std::string address{};
};

} // namespace azurelb
