#pragma once

#include <functional>

namespace azurelb {

enum class control_outcome;
class vm_list_source;
class polling_vm_list;
class vm_controls;
class http_vm_controls;
struct platform_options;

using control_handler = std::function<void(control_outcome)>;

} // namespace azurelb
