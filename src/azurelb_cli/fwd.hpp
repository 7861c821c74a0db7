#pragma once

namespace azurelb::cli {

struct call_result;
struct command;
struct command_line;
enum class exit_code : int;
class daemon_client;
class table;

} // namespace azurelb::cli
