#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(scenario);
DECLARE_string(daemons);
DECLARE_string(operators);
DECLARE_string(executors);
DECLARE_string(stores);
DECLARE_string(pids);
DECLARE_string(teams);
DECLARE_string(queues);
DECLARE_string(fleet);
DECLARE_double(rate);
DECLARE_int32(seconds);
DECLARE_int32(run_ms);
DECLARE_int32(timeout_ms);
DECLARE_int32(body_bytes);
DECLARE_int32(connections);
DECLARE_int32(slots);
DECLARE_string(label);
DECLARE_bool(json);
