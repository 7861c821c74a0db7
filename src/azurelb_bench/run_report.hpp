#pragma once

#include <azurelb_bench/counter_sample.hpp>
#include <azurelb_bench/stream_result.hpp>

#include <chrono>
#include <map>
#include <string>

namespace azurelb::bench {

/** Everything that one run has measured. */
struct run_report
{
    std::string scenario{};
    std::string label{};
    std::chrono::milliseconds duration{};
    stream_result total{};
    stream_result direct{};
    std::map<std::string, stream_result> teams{};
    /** Part of the completed calls less the part configured, by team; empty if not measured. */
    std::map<std::string, double> shareErrors{};
    /** Most calls seen running at once less the limit; limit scenario only. */
    std::int64_t maxOverLimit{};
    std::uint64_t maxRunning{};
    /** Time until 95 % of the limit ran; zero if that was never seen. */
    std::chrono::milliseconds timeToLimit{};
    counter_sample before{};
    counter_sample after{};
};

/** The report as one line of JSON. */
[[nodiscard]] std::string toJson(const run_report &report);

/** The report as a table for people. */
[[nodiscard]] std::string toTable(const run_report &report);

} // namespace azurelb::bench
