#pragma once

#include <azurelb/core/identifier.hpp>

#include <string>

namespace azurelb {

/** Who this process is among its peers. */
struct nng_options
{
    vm_id self;
    incarnation id{};
    /** IP:PORT to listen on; port 0 takes an ephemeral one. */
    std::string listen;
};

} // namespace azurelb
