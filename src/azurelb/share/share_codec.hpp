#pragma once

#include <azurelb/share/slot_assignment.hpp>
#include <azurelb/share/slot_report.hpp>

namespace azurelb {

namespace wire {
class share_assignment;
class share_report;
} // namespace wire

void encode(const slot_report &report, wire::share_report &message);

void encode(const slot_assignment &assignment, wire::share_assignment &message);

[[nodiscard]] slot_report decode(const wire::share_report &message);

[[nodiscard]] slot_assignment decode(const wire::share_assignment &message);

} // namespace azurelb
