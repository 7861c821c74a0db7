#pragma once

#include <azurelb/core/identifier.hpp>

#include <string>

namespace azurelb {

/** Identity and listen address of this process. */
struct nng_options
{
    vm_id self;
    incarnation id{};
    /** IP:PORT to listen on; port 0 selects an ephemeral port. */
    std::string listen;
};

} // namespace azurelb
