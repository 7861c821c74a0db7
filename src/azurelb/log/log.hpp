#pragma once

#include <azurelb/log/event.hpp>
#include <azurelb/log/field.hpp>
#include <azurelb/log/severity.hpp>

#include <initializer_list>
#include <string>

namespace azurelb {

/** Options of the process's log. */
struct log_options
{
    severity minSeverity{severity::info};
    /** Name of this VM, written on every line. */
    std::string vm;
};

/**
 * Sets up the process's log on standard output. Call once, before any thread is started. If the
 * reader stalls, lines are dropped instead of blocking; the next line of the same event gives the
 * number of dropped lines as left_out.
 */
void openLog(const log_options &options);

/**
 * Collects lines below severity::warning and writes several at once; a daemon under load spends
 * most of the cost of a line on the system calls. While this is on, flushLog() must be called
 * regularly. Turning it off writes what has been collected.
 */
void setLogBuffering(bool on);

/** Writes the collected lines, without blocking. */
void flushLog();

/**
 * Writes one event: time, severity, number, name, then the fields as name="value". Quotes, control
 * characters and line breaks in values are escaped, so that one event is always one line.
 */
void logEvent(event id, std::initializer_list<field> fields = {});

/** Returns whether a line of the event would be written now, and otherwise counts it as left out.
    Ask before the fields of a frequent line are built. */
[[nodiscard]] bool mayLog(event id);

} // namespace azurelb
