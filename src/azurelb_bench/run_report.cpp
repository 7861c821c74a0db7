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

double seconds(const control_sample &from, const control_sample &to)
{
    return std::max(std::chrono::duration<double>{to.taken - from.taken}.count(), 1e-3);
}

json::object toObject(const stream_result &result, bool isTimed)
{
    json::object made;
    made["offered"] = result.offered;
    made["completed"] = result.completed;
    made["p50_us"] = result.latency.percentile(50).count();
    made["p99_us"] = result.latency.percentile(99).count();
    json::object refused;
    for (const auto &[kind, count] : result.refused)
        refused[kind] = count;
    made["refused"] = refused;
    if (isTimed)
        made["completed_by_tenth"] =
            json::array(result.completedByTenth.begin(), result.completedByTenth.end());
    return made;
}

json::array daemonsOf(const run_report &report)
{
    json::array daemons;
    const double time = seconds(report.before, report.after);
    for (std::size_t index = 0; index < report.after.daemons.size(); ++index) {
        const process_usage &now = report.after.daemons[index];
        const auto used = now.processorTime - report.before.daemons[index].processorTime;
        json::object each;
        each["core_percent"] = std::chrono::duration<double>{used}.count() / time * 100.0;
        each["resident_bytes"] = now.residentBytes;
        each["threads"] = now.threads;
        daemons.push_back(each);
    }
    return daemons;
}

/** Rates of the control messages of one daemon, on average over all. */
json::object controlOf(const run_report &report)
{
    constexpr std::pair<const char *, const char *> rates[]{
        {"azurelb_peer_bytes_sent_total", "bytes_sent_per_second"},
        {"azurelb_peer_bytes_received_total", "bytes_received_per_second"},
        {"azurelb_peer_messages_sent_total", "messages_sent_per_second"}};
    json::object made;
    const double time = seconds(report.before, report.after);
    const auto daemons = std::max<double>(1, static_cast<double>(report.after.daemons.size()));
    const auto valueIn = [](const control_sample &sample, const char *name) {
        const auto found = sample.metrics.find(name);
        return found == sample.metrics.end() ? 0.0 : found->second;
    };
    for (const auto &[metric, name] : rates)
        made[name] =
            (valueIn(report.after, metric) - valueIn(report.before, metric)) / time / daemons;
    return made;
}

json::object toObject(const run_report &report)
{
    json::object made;
    made["scenario"] = report.scenario;
    made["label"] = report.label;
    made["seconds"] = std::chrono::duration<double>{report.duration}.count();
    made["total"] = toObject(report.total, true);
    made["direct"] = toObject(report.direct, false);
    json::object teams;
    for (const auto &[name, result] : report.teams)
        teams[name] = toObject(result, true);
    made["teams"] = teams;
    json::object errors;
    for (const auto &[name, error] : report.shareErrors)
        errors[name] = error;
    made["share_errors"] = errors;
    made["most_running"] = report.mostRunning;
    made["most_over_limit"] = report.mostOverLimit;
    made["time_to_limit_ms"] = report.timeToLimit.count();
    made["slots_exceeded"] = report.after.executorsRefused - report.before.executorsRefused;
    made["executors_most_running"] = report.after.executorsMostRunning;
    made["store_calls_per_second"] =
        static_cast<double>(report.after.storeCalls - report.before.storeCalls)
        / seconds(report.before, report.after);
    made["control_per_daemon"] = controlOf(report);
    made["daemons"] = daemonsOf(report);
    return made;
}

void write(std::ostringstream &table, const std::string &name, const json::value &value)
{
    constexpr int nameWidth = 44;
    if (!value.is_object()) {
        table << std::left << std::setw(nameWidth) << name << json::serialize(value) << '\n';
        return;
    }
    for (const auto &each : value.as_object()) {
        if (each.key() != "completed_by_tenth")
            write(table, name + (name.empty() ? "" : ".") + std::string{each.key()}, each.value());
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
    write(table, {}, toObject(report));
    return table.str();
}

} // namespace azurelb::bench
