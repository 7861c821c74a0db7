#pragma once

#include <memory>
#include <vector>

namespace azurelb {

struct upstream_vm;
class upstream_directory;
enum class attempt_outcome;

} // namespace azurelb
