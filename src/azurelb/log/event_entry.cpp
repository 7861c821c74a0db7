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
    {event::dispatcher_changed, severity::info, "dispatcher_changed"},
    {event::circuit_opened, severity::warning, "circuit_opened"},
    {event::circuit_closed, severity::info, "circuit_closed"},
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
