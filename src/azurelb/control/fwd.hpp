#pragma once

namespace azurelb {

enum class report_outcome;
enum class vm_order_outcome;
enum class vm_state;
struct executor_reply;
struct report_request;
struct start_reply;
struct stored_job;
struct vm_entry;
struct vm_listing;
class executor_gateway;
class leader_election;
class owner;
class owner_metrics;
class progress_writer;
class vm_service;

} // namespace azurelb
