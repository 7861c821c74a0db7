#pragma once

namespace azurelb {

struct catalogue;
struct queue_entry;
struct pool_entry;
struct team_entry;
struct wave_entry;

} // namespace azurelb
