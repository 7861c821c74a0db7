#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/membership/fwd.hpp>
#include <azurelb/upstream/fwd.hpp>
#include <azurelb/wire/operations.pb.h>

namespace azurelb {

/** Adds the state of the fleet according to the documents, the membership and the upstreams. */
void addFleetStatus(wire::status &status, const document_source &documents,
                    const membership &members, const upstream_directory &upstreams);

} // namespace azurelb
