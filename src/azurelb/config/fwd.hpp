#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace azurelb {

/** Revision of the store at which a document was written; 0 for a document never written. */
enum class revision : std::int64_t {};

class config_view;
class fleet_view;
class document_source;
enum class change_error;
struct change_outcome;
struct fleet_outcome;
struct change_failure;
struct applied_change;
struct document_revisions;
struct peer_report;
struct replica_options;
struct poll_candidate;
struct reply_time;
enum class apply_outcome;
class store_write;
class config_commit;
class fleet_commit;
class confirmation_tracker;
class poll_schedule;
class local_documents;
class document_exchange;
class write_environment;
class write_queue;
class audit_trail;
class replicated_documents;

using config_view_ptr = std::shared_ptr<const config_view>;
using fleet_view_ptr = std::shared_ptr<const fleet_view>;
using change_handler = std::function<void(const change_outcome &)>;
using fleet_handler = std::function<void(const fleet_outcome &)>;

} // namespace azurelb
