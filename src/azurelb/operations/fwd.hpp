#pragma once

namespace azurelb {

struct zone_check;
class operator_api;
class operator_directory;

} // namespace azurelb
