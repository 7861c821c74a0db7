#pragma once

namespace azurelb {

struct request_result;
struct retry_context;
struct attempt_services;
struct caller_options;
struct caller_request;
struct checked_request;
struct claim_result;
enum class claim_state;
class request_forwarder;
class caller_api;
class claim_registry;
class retry_budget;
class running_attempt;
class slot_use;

} // namespace azurelb
