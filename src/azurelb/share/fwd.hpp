#pragma once

#include <cstdint>
#include <functional>

namespace azurelb {

/** Identifies a waiting request at the daemon that received it. */
enum class ticket_id : std::uint64_t {};

/** Identifies one use of an executor slot; unique over the fleet. */
enum class lease_id : std::uint64_t {};

/** Identifies a slot assigned to a daemon; unique over the fleet and never reused. */
enum class slot_id : std::uint64_t {};

struct slot_request;
struct slot_lease;
enum class slot_refusal;
struct slot_grant;
struct share_options;
struct weighted_demand;
struct team_load;
struct held_slot;
struct outcome_count;
struct slot_report;
struct assigned_slot;
struct team_weight;
struct team_share;
struct slot_assignment;
struct addressed_assignment;
struct ticket_grant;
class circuit_breaker;
class dispatch_plan;
class dispatcher;
class fair_queue;
class rights_broker;
class slot_table;
class dispatcher_client;
class slot_service;
class dispatched_slot_service;

using slot_handler = std::function<void(const slot_grant &)>;

} // namespace azurelb
