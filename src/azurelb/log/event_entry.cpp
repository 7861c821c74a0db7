#include <azurelb/log/event_entry.hpp>

#include <algorithm>
#include <iterator>

namespace azurelb {

namespace {

constexpr event_entry entries[]{
    {event::daemon_started, severity::info, "daemon_started"},
    {event::daemon_ready, severity::info, "daemon_ready"},
    {event::shutdown_began, severity::info, "shutdown_began"},
    {event::shutdown_ended, severity::info, "shutdown_ended"},
    {event::daemon_failed, severity::error, "daemon_failed"},
    {event::settings_reloaded, severity::info, "settings_reloaded"},
    {event::document_applied, severity::info, "document_applied"},
    {event::change_committed, severity::info, "change_committed"},
    {event::change_refused, severity::info, "change_refused"},
    {event::change_unknown, severity::warning, "change_unknown"},
    {event::documents_confirmed, severity::info, "documents_confirmed"},
    {event::documents_unconfirmed, severity::warning, "documents_unconfirmed"},
    {event::store_reads_resumed, severity::info, "store_reads_resumed"},
    {event::store_reads_failing, severity::warning, "store_reads_failing"},
    {event::store_data_old, severity::warning, "store_data_old"},
    {event::document_malformed, severity::error, "document_malformed"},
    {event::audit_trimmed, severity::info, "audit_trimmed"},
    {event::peer_dialled, severity::info, "peer_dialled"},
    {event::peer_redialled, severity::warning, "peer_redialled"},
    {event::peer_address_refused, severity::error, "peer_address_refused"},
    {event::member_joined, severity::info, "member_joined"},
    {event::member_lost, severity::warning, "member_lost"},
    {event::member_left, severity::info, "member_left"},
    {event::peer_silent, severity::info, "peer_silent"},
    {event::limit_in_force, severity::info, "limit_in_force"},
    {event::limit_pending, severity::info, "limit_pending"},
    {event::rights_closed, severity::error, "rights_closed"},
    {event::rights_reclaimed, severity::info, "rights_reclaimed"},
    {event::rights_store_failed, severity::warning, "rights_store_failed"},
    {event::rights_store_restored, severity::info, "rights_store_restored"},
    {event::reclaim_blocked, severity::warning, "reclaim_blocked"},
    {event::dispatcher_changed, severity::info, "dispatcher_changed"},
    {event::circuit_opened, severity::warning, "circuit_opened"},
    {event::circuit_closed, severity::info, "circuit_closed"},
    {event::planner_changed, severity::info, "planner_changed"},
    {event::fleet_changed, severity::info, "fleet_changed"},
    {event::fleet_not_written, severity::info, "fleet_not_written"},
    {event::reboot_ordered, severity::info, "reboot_ordered"},
    {event::reboot_not_ordered, severity::warning, "reboot_not_ordered"},
    {event::store_unreachable, severity::warning, "store_unreachable"},
    {event::store_reachable, severity::info, "store_reachable"},
    {event::follower_failing, severity::warning, "follower_failing"},
    {event::follower_restored, severity::info, "follower_restored"},
    {event::stored_value_damaged, severity::error, "stored_value_damaged"},
    {event::vm_list_unreachable, severity::warning, "vm_list_unreachable"},
    {event::vm_list_reachable, severity::info, "vm_list_reachable"},
    {event::vm_list_malformed, severity::warning, "vm_list_malformed"},
    {event::job_accepted, severity::info, "job_accepted"},
    {event::job_refused, severity::info, "job_refused"},
    {event::job_cancelled, severity::info, "job_cancelled"},
    {event::job_outcome_unknown, severity::warning, "job_outcome_unknown"},
    {event::job_ended, severity::info, "job_ended"},
    {event::intake_suspended, severity::warning, "intake_suspended"},
    {event::intake_resumed, severity::info, "intake_resumed"},
    {event::run_ordered, severity::info, "run_ordered"},
    {event::run_not_started, severity::info, "run_not_started"},
    {event::run_stop_ordered, severity::info, "run_stop_ordered"},
    {event::run_ended, severity::info, "run_ended"},
    {event::run_undecided, severity::info, "run_undecided"},
    {event::run_given_up, severity::info, "run_given_up"},
    {event::ends_done, severity::info, "ends_done"},
    {event::ends_acknowledged, severity::info, "ends_acknowledged"},
    {event::end_not_counted, severity::info, "end_not_counted"},
    {event::report_not_applied, severity::info, "report_not_applied"},
    {event::executor_silent, severity::warning, "executor_silent"},
    {event::executor_ended, severity::info, "executor_ended"},
    {event::executor_suspended, severity::warning, "executor_suspended"},
    {event::executor_restarted, severity::info, "executor_restarted"},
    {event::order_on_other_incarnation, severity::warning, "order_on_other_incarnation"},
    {event::earlier_leases_over, severity::warning, "earlier_leases_over"},
    {event::earlier_runs_listed, severity::info, "earlier_runs_listed"},
    {event::report_on_other_incarnation, severity::warning, "report_on_other_incarnation"},
    {event::acknowledgement_withheld, severity::info, "acknowledgement_withheld"},
    {event::owner_elected, severity::info, "owner_elected"},
    {event::owner_ready, severity::info, "owner_ready"},
    {event::owner_lost, severity::warning, "owner_lost"},
    {event::progress_not_stored, severity::warning, "progress_not_stored"},
    {event::starts_held, severity::warning, "starts_held"},
    {event::starts_resumed, severity::info, "starts_resumed"},
    {event::event_loop_paused, severity::warning, "event_loop_paused"},
    {event::owner_overloaded, severity::warning, "owner_overloaded"},
    {event::former_claim_released, severity::info, "former_claim_released"},
    {event::configuration_behind, severity::info, "configuration_behind"},
    {event::vm_move_ordered, severity::info, "vm_move_ordered"},
    {event::vm_maintenance_ordered, severity::info, "vm_maintenance_ordered"},
    {event::vm_order_failed, severity::info, "vm_order_failed"},
    {event::wave_completed, severity::info, "wave_completed"},
    {event::pool_planned, severity::debug, "pool_planned"},
};

constexpr bool ascending(const event_entry &left, const event_entry &right) noexcept
{
    return left.id < right.id;
}

static_assert(std::is_sorted(std::begin(entries), std::end(entries), ascending));

} // namespace

std::span<const event_entry> eventCatalogue() noexcept
{
    return entries;
}

const event_entry &catalogueEntry(event id) noexcept
{
    const event_entry wanted{id, severity::debug, {}};
    return *std::lower_bound(std::begin(entries), std::end(entries), wanted, ascending);
}

} // namespace azurelb
