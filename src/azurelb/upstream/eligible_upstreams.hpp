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
 * Upstreams that may get new work of the queue, sorted by VM: in the queue's pool, serving, in no
 * zone that is out, and live by the platform's list. A VM that the list doesn't show yet or any
 * more gets no work.
 */
[[nodiscard]] std::vector<upstream_vm> eligibleUpstreams(const queue_name &queue,
                                                         const config_view &config,
                                                         const fleet_view &fleet,
                                                         const wire::vm_list &list);

} // namespace azurelb
