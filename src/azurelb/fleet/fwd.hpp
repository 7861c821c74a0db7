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

enum class sighting;
enum class probe_result;
struct fleet_options;
struct vm_observation;
struct queue_demand;
struct plan_input;
struct plan_step;
struct reboot_action;
struct pool_count;
struct zone_count;
struct broken_budget;
class vm_index;
class availability;
class fleet_draft;
class planner_memory;
class planner;
class vm_reporter;
class connect_reporter;
class planner_service;
class demand_tracker;
struct lasting_demand;

using vm_list_ptr = std::shared_ptr<const wire::vm_list>;

} // namespace azurelb
