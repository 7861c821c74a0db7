#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/upstream/fwd.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

#include <vector>

namespace azurelb {

namespace wire {
class vm_list;
} // namespace wire

/**
 * Upstreams that may receive new requests of the queue, sorted by VM id: those in the queue's pool
 * that are serving, in no zone taken out of service, and live according to the platform's VM list.
 * A VM missing from the list is not
 * eligible, nor is an entry VM.
 */
[[nodiscard]] std::vector<upstream_vm> eligibleUpstreams(const queue_name &queue,
                                                         const config_view &config,
                                                         const fleet_view &fleet,
                                                         const wire::vm_list &list);

} // namespace azurelb
