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
    {event::peer_dialled, severity::info, "peer_dialled"},
    {event::peer_redialled, severity::warning, "peer_redialled"},
    {event::peer_address_refused, severity::error, "peer_address_refused"},
    {event::store_unreachable, severity::warning, "store_unreachable"},
    {event::store_reachable, severity::info, "store_reachable"},
    {event::vm_list_unreachable, severity::warning, "vm_list_unreachable"},
    {event::vm_list_reachable, severity::info, "vm_list_reachable"},
    {event::vm_list_malformed, severity::warning, "vm_list_malformed"},
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
