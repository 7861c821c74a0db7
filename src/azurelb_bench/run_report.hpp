#pragma once

#include <azurelb_bench/counter_sample.hpp>
#include <azurelb_bench/stream_result.hpp>

#include <chrono>
#include <map>
#include <string>

namespace azurelb::bench {

/** Measurements of a run. */
struct run_report
{
    std::string scenario{};
    std::string label{};
    std::chrono::milliseconds duration{};
    stream_result total{};
    stream_result direct{};
    std::map<std::string, stream_result> teams{};
    /** Fraction of completed calls minus the configured share, by team; empty if not measured. */
    std::map<std::string, double> shareErrors{};
    /** maxRunning minus the team's limit; limit scenario only. */
    std::int64_t maxOverLimit{};
    /** Maximum number of concurrently running calls observed; limit scenario only. */
    std::uint64_t maxRunning{};
    /** Time until 95 % of the limit was in use; zero if never observed. */
    std::chrono::milliseconds timeToLimit{};
    counter_sample before{};
    counter_sample after{};
};

/** The report as one line of JSON. */
[[nodiscard]] std::string toJson(const run_report &report);

/** The report as a table with one row for each value. */
[[nodiscard]] std::string toTable(const run_report &report);

} // namespace azurelb::bench
