#pragma once

#include <functional>
#include <memory>

namespace azurelb {

namespace wire {
class vm_list;
class listed_vm;
class config_document;
class fleet_document;
class fleet_vm;
class pool;
class audit_record;
} // namespace wire

enum class listed_state;
enum class probe_result;
struct fleet_options;
struct vm_observation;
struct queue_demand;
struct plan_input;
struct plan_result;
struct reboot_order;
struct pool_availability;
struct zone_availability;
struct budget_violation;
class vm_index;
class availability;
class fleet_draft;
class planner_history;
class planner;
class vm_reporter;
class tcp_probe_reporter;
class planner_service;
class demand_tracker;
struct smoothed_demand;

using vm_list_ptr = std::shared_ptr<const wire::vm_list>;

} // namespace azurelb
