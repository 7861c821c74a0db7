#include <azurelb_bench/flags.hpp>

#include <gflags/gflags.h>

DEFINE_string(scenario, "steady", "steady, peak, limit, zone, connections, idle or seed");
DEFINE_string(daemons, "", "Daemons' ports for callers: IP:PORT,...");
DEFINE_string(operators, "", "Daemons' ports for operators, which serve metrics: IP:PORT,...");
DEFINE_string(executors, "", "Stand-ins for executors: IP:PORT,...");
DEFINE_string(stores, "", "Stand-ins for the store: IP:PORT,...");
DEFINE_string(pids, "", "Process ids of the daemons, to read processor time and memory: PID,...");
DEFINE_string(teams, "", "Teams: NAME/KEY/SHARE/LIMIT,...");
DEFINE_string(queues, "", "Queues: NAME,...");
DEFINE_string(fleet, "", "seed: VMs with their pool and location: VM/POOL/ZONE/RACK,...");
DEFINE_double(rate, 500, "Calls per second in total; peak: mean of each queue");
DEFINE_int32(seconds, 10, "Duration of the run, in seconds");
DEFINE_int32(run_ms, 0, "Time that each call runs on its executor, in milliseconds");
DEFINE_int32(timeout_ms, 10000, "Timeout of each call, in milliseconds");
DEFINE_int32(body_bytes, 100, "Size of each request body");
DEFINE_int32(connections, 256,
             "Maximum number of connections of a stream; connections: number to open");
DEFINE_int32(slots, 8, "Slots of each executor");
DEFINE_string(label, "", "Name of the run, copied to its JSON line");
DEFINE_bool(json, false, "Print one JSON line instead of the table");
