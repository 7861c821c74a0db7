#include <azurelb_bench/run_report.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace azurelb::bench {

namespace json = boost::json;

namespace {

double secondsBetween(const counter_sample &from, const counter_sample &to)
{
    return std::max(std::chrono::duration<double>{to.takenAt - from.takenAt}.count(), 1e-3);
}

json::object toObject(const stream_result &result, bool isTimed)
{
    json::object object;
    object["offered"] = result.offered;
    object["completed"] = result.completed;
    object["p50_us"] = result.latency.percentile(50).count();
    object["p99_us"] = result.latency.percentile(99).count();
    json::object refused;
    for (const auto &[kind, count] : result.refused)
        refused[kind] = count;
    object["refused"] = refused;
    if (isTimed)
        object["completed_by_tenth"] =
            json::array(result.completedPer100Ms.begin(), result.completedPer100Ms.end());
    return object;
}

json::array daemonUsage(const run_report &report)
{
    json::array daemons;
    const double time = secondsBetween(report.before, report.after);
    for (std::size_t index = 0; index < report.after.daemons.size(); ++index) {
        const process_usage &now = report.after.daemons[index];
        const auto cpuTime = now.processorTime - report.before.daemons[index].processorTime;
        json::object each;
        each["core_percent"] = std::chrono::duration<double>{cpuTime}.count() / time * 100.0;
        each["resident_bytes"] = now.residentBytes;
        each["threads"] = now.threads;
        daemons.push_back(each);
    }
    return daemons;
}

/** Rates of control messages per daemon, as the mean over all daemons. */
json::object controlTrafficPerDaemon(const run_report &report)
{
    constexpr std::pair<const char *, const char *> rates[]{
        {"azurelb_peer_bytes_sent_total", "bytes_sent_per_second"},
        {"azurelb_peer_bytes_received_total", "bytes_received_per_second"},
        {"azurelb_peer_messages_sent_total", "messages_sent_per_second"}};
    json::object object;
    const double time = secondsBetween(report.before, report.after);
    const auto daemons = std::max<double>(1, static_cast<double>(report.after.daemons.size()));
    const auto metricValue = [](const counter_sample &sample, const char *name) {
        const auto found = sample.metrics.find(name);
        return found == sample.metrics.end() ? 0.0 : found->second;
    };
    for (const auto &[metric, name] : rates)
        object[name] = (metricValue(report.after, metric) - metricValue(report.before, metric))
            / time / daemons;
    return object;
}

json::object toObject(const run_report &report)
{
    json::object object;
    object["scenario"] = report.scenario;
    object["label"] = report.label;
    object["seconds"] = std::chrono::duration<double>{report.duration}.count();
    object["total"] = toObject(report.total, true);
    object["direct"] = toObject(report.direct, false);
    json::object teams;
    for (const auto &[name, result] : report.teams)
        teams[name] = toObject(result, true);
    object["teams"] = teams;
    json::object errors;
    for (const auto &[name, error] : report.shareErrors)
        errors[name] = error;
    object["share_errors"] = errors;
    object["most_running"] = report.maxRunning;
    object["most_over_limit"] = report.maxOverLimit;
    object["time_to_limit_ms"] = report.timeToLimit.count();
    object["slots_exceeded"] = report.after.executorRefusals - report.before.executorRefusals;
    object["executors_most_running"] = report.after.maxRunningPerExecutor;
    object["store_calls_per_second"] =
        static_cast<double>(report.after.storeCalls - report.before.storeCalls)
        / secondsBetween(report.before, report.after);
    object["control_per_daemon"] = controlTrafficPerDaemon(report);
    object["daemons"] = daemonUsage(report);
    return object;
}

void writeRows(std::ostringstream &table, const std::string &name, const json::value &value)
{
    constexpr int nameWidth = 44;
    if (!value.is_object()) {
        table << std::left << std::setw(nameWidth) << name << json::serialize(value) << '\n';
        return;
    }
    for (const auto &each : value.as_object()) {
        if (each.key() != "completed_by_tenth")
            writeRows(table, name + (name.empty() ? "" : ".") + std::string{each.key()},
                      each.value());
    }
}

} // namespace

std::string toJson(const run_report &report)
{
    return json::serialize(toObject(report));
}

std::string toTable(const run_report &report)
{
    std::ostringstream table;
    writeRows(table, {}, toObject(report));
    return table.str();
}

} // namespace azurelb::bench
