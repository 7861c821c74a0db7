#pragma once

namespace azurelb::bench {

class latency_samples;
class load_stream;
class load_run;
struct stream_options;
struct stream_result;
struct process_usage;
struct counter_sample;
struct team_option;
struct run_report;

} // namespace azurelb::bench
