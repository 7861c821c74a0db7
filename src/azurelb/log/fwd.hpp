#pragma once

namespace azurelb {

enum class event : int;
enum class severity : int;
struct event_entry;
struct field;
struct log_options;
class line_buffer;

} // namespace azurelb
