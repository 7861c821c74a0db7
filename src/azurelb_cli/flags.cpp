#include <azurelb_cli/flags.hpp>

DEFINE_string(server, "127.0.0.1:8081",
              "Daemons to try in turn: IP:PORT,... (operators' port; callers' port for submit)");
DEFINE_bool(json, false, "Print JSON for scripts");
DEFINE_uint32(timeout_ms, 30000, "Timeout for the response of each daemon, in milliseconds");
DEFINE_bool(force, false, "Make the change even if it exceeds an availability budget");
DEFINE_uint32(minimum, 0, "Minimum number of VMs of the pool");
DEFINE_uint32(maximum, 0, "Maximum number of VMs of the pool");
DEFINE_uint32(unavailable, 0, "VMs of the pool that may be unavailable at the same time");
DEFINE_bool(spare, false, "The pool lends its VMs to others and serves no queue");
DEFINE_string(pool, "", "Pool that serves the queue");
DEFINE_bool(open, false, "The queue accepts requests without a key");
DEFINE_bool(idempotent, false, "Requests of the queue are idempotent and may run more than once");
DEFINE_uint32(wait_ms, 0, "Target for the waiting time at the percentile, in milliseconds");
DEFINE_uint32(percentile, 95, "Percentile of requests, 1 to 99");
DEFINE_uint32(share, 0, "Relative share of the capacity when all of it is in use");
DEFINE_uint32(limit, 0, "Maximum number of concurrent requests of the team in the fleet");
DEFINE_uint32(weigh_share, 5, "Weight of keeping to the shares, 0 to 10");
DEFINE_uint32(weigh_outage, 5, "Weight of work done while a zone is out, 0 to 10");
DEFINE_uint32(weigh_buffer, 5, "Weight of the cost of spare VMs, 0 to 10");
DEFINE_uint32(weigh_moves, 5, "Weight of avoiding moves of VMs, 0 to 10");
DEFINE_string(pools, "", "Pools of the wave: POOL,...");
DEFINE_uint32(most, 20, "Records to show");
DEFINE_string(idempotency_key, "", "Key under which the request runs at most once");

namespace azurelb::cli {

bool isGiven(const char *flag)
{
    return !gflags::GetCommandLineFlagInfoOrDie(flag).is_default;
}

} // namespace azurelb::cli
