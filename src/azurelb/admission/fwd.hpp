#pragma once

namespace azurelb {

enum class rejection_reason;
struct admission_decision;
struct load_forecast;
struct pool_forecast;
struct pool_room;
class admission_control;
class forecast_reader;
class overload_control;

} // namespace azurelb
