#pragma once

#include <gflags/gflags.h>

// Flags of the program, defined in flags.cpp. command::flags lists those that a command reads.
DECLARE_string(server);
DECLARE_bool(json);
DECLARE_uint32(timeout_ms);
DECLARE_bool(force);
DECLARE_uint32(minimum);
DECLARE_uint32(maximum);
DECLARE_uint32(unavailable);
DECLARE_bool(spare);
DECLARE_string(pool);
DECLARE_bool(open);
DECLARE_bool(idempotent);
DECLARE_uint32(wait_ms);
DECLARE_uint32(percentile);
DECLARE_uint32(share);
DECLARE_uint32(limit);
DECLARE_uint32(weigh_share);
DECLARE_uint32(weigh_outage);
DECLARE_uint32(weigh_buffer);
DECLARE_uint32(weigh_moves);
DECLARE_string(pools);
DECLARE_uint32(most);
DECLARE_string(idempotency_key);

namespace azurelb::cli {

/** True if the flag was set on the command line or in the environment. */
[[nodiscard]] bool isGiven(const char *flag);

} // namespace azurelb::cli
