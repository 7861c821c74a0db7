#pragma once

#include <azurelb/core/fwd.hpp>

#include <cstdint>
#include <map>

namespace azurelb {

/** Number of rights. A right permits one running request. Net counts may be negative. */
using right_count = std::int64_t;

/** Number of rights by team; 0 for a team that is not listed. */
using team_counts = std::map<team_name, right_count>;

class limit_service;
class departure_source;
struct rights_options;
struct rights_limits;
struct rights_status;
struct rights_transfer;
struct holder_report;
struct balance_request;
struct document_inputs;
struct outgoing_rights_message;
class peak_usage;
class rights_account;
class rights_peers;
class membership_proof;
struct rights_peer;
class rights_balancer;
class rights_protocol;
class limit_metrics;
class rights_limit_service;

} // namespace azurelb
