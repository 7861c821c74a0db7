#pragma once

#include <chrono>
#include <cstdint>

namespace azurelb {

template <typename Tag>
class identifier;

struct vm_id_tag;
struct zone_name_tag;
struct rack_name_tag;
struct team_name_tag;
struct queue_name_tag;
struct pool_name_tag;
struct wave_id_tag;
struct change_id_tag;

/** Identifies a VM of the platform: an upstream, or one that runs this system. */
using vm_id = identifier<vm_id_tag>;
using zone_name = identifier<zone_name_tag>;
using rack_name = identifier<rack_name_tag>;
using team_name = identifier<team_name_tag>;
using queue_name = identifier<queue_name_tag>;
using pool_name = identifier<pool_name_tag>;
using wave_id = identifier<wave_id_tag>;
using change_id = identifier<change_id_tag>;

/**
 * Random number that a process draws at its start; it distinguishes a restarted process from its
 * predecessor.
 */
enum class incarnation : std::uint64_t {};

/** Monotonic time. Decision logic takes it as a parameter and never reads a clock itself. */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/** Time of day, for records that people read. */
using wall_time = std::chrono::system_clock::time_point;

class clock_source;
class steady_clock_source;
class random_source;
class service;
class kernel;

} // namespace azurelb
