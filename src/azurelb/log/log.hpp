#pragma once

#include <azurelb/log/event.hpp>
#include <azurelb/log/field.hpp>
#include <azurelb/log/severity.hpp>

#include <initializer_list>
#include <string>

namespace azurelb {

/** How a process writes its log. */
struct log_options
{
    severity minSeverity{severity::info};
    /** Name of the VM, written on every line. */
    std::string vm;
};

/**
 * Sets the process's log up: one line each on standard output. Call once, before any thread. A
 * reader that stands still costs lines, never time; the next line of an event tells how many of it
 * were left out.
 */
void openLog(const log_options &options);

/**
 * Writes one event: time, severity, number, name, then the fields as name="value". Quotes, control
 * characters and line breaks in values are escaped, so that one event is always one line.
 */
void logEvent(event id, std::initializer_list<field> fields = {});

} // namespace azurelb
