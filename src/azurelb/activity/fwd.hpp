#pragma once

namespace azurelb {

struct queue_totals;
class activity_collector;
class activity_recorder;
class activity_reporter;
class activity_service;

} // namespace azurelb
