#pragma once

#include <azurelb/log/event.hpp>
#include <azurelb/log/severity.hpp>

#include <span>
#include <string_view>

namespace azurelb {

/** Number, severity and name of a log event. */
struct event_entry
{
    event id;
    severity level;
    std::string_view name;
};

/** All events, by ascending number. */
[[nodiscard]] std::span<const event_entry> eventCatalogue() noexcept;

/** The catalogue entry of an event. */
[[nodiscard]] const event_entry &catalogueEntry(event id) noexcept;

} // namespace azurelb
