#pragma once

#include <memory>

namespace azurelb {

struct upstream_vm;
struct connection_options;
struct exchange_result;
class upstream_directory;
class view_upstream_directory;
class upstream_connection;
class connection_pool;
enum class attempt_outcome;
enum class attempt_state;
enum class connection_requirement;

using upstream_connection_ptr = std::unique_ptr<upstream_connection>;

} // namespace azurelb
