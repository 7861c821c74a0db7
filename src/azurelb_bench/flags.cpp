#include <azurelb_bench/flags.hpp>

#include <gflags/gflags.h>

DEFINE_string(scenario, "steady", "steady, peak, limit, zone, connections, idle or seed");
DEFINE_string(daemons, "", "Daemons' ports for callers: IP:PORT,...");
DEFINE_string(operators, "", "Daemons' ports for operators, for their metrics: IP:PORT,...");
DEFINE_string(executors, "", "Executors' stand-ins: IP:PORT,...");
DEFINE_string(stores, "", "Store's stand-ins: IP:PORT,...");
DEFINE_string(pids, "", "Processes of the daemons, whose processor time and memory are read");
DEFINE_string(teams, "", "Teams: NAME/KEY/SHARE/LIMIT,...");
DEFINE_string(queues, "", "Queues: NAME,...");
DEFINE_string(fleet, "", "seed: VMs and their pools: VM/POOL/ZONE/RACK,...");
DEFINE_double(rate, 500, "Calls a second over all; peak: the mean of each queue");
DEFINE_int32(seconds, 10, "Time to measure for");
DEFINE_int32(run_ms, 0, "Time that each call runs on its executor");
DEFINE_int32(timeout_ms, 10000, "Time that each call may take");
DEFINE_int32(body_bytes, 100, "Bytes of each body");
DEFINE_int32(connections, 256, "Most connections of one stream; connections: number to open");
DEFINE_int32(slots, 8, "Slots of each executor");
DEFINE_string(label, "", "Name of the run, passed on into its JSON line");
DEFINE_bool(json, false, "Print one JSON line in place of the table");
