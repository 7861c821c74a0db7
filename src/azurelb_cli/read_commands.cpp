#include <azurelb/wire/fleet.pb.h>
#include <azurelb/wire/operations.pb.h>
#include <azurelb_cli/daemon_client.hpp>
#include <azurelb_cli/flags.hpp>
#include <azurelb_cli/json_messages.hpp>
#include <azurelb_cli/read_commands.hpp>
#include <azurelb_cli/table.hpp>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace azurelb::cli {

namespace {

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string formatUtcTime(std::uint64_t sinceEpochMs)
{
    constexpr std::uint64_t msPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(sinceEpochMs / msPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

/** Prints the entities as a table, or the whole message as JSON. */
template <typename List, typename ToRow>
void printList(const google::protobuf::Message &whole, table::value_type header, const List &list,
               ToRow toRow)
{
    if (FLAGS_json) {
        printJson(whole);
        return;
    }
    table rows{std::move(header)};
    for (const auto &each : list)
        rows.addRow(toRow(each));
    rows.print(std::cout);
}

void printSummary(const wire::status &status)
{
    std::cout << "daemon " << status.vm() << " in " << status.zone() << ": "
              << (status.ready() ? "ready" : "not ready") << ", view "
              << (status.confirmed() ? "confirmed" : "NOT confirmed, starts no work")
              << ", configuration " << status.config_generation() << ", "
              << status.requests_in_flight() << " requests in flight\n"
              << "members:";
    for (const wire::member_status &each : status.members())
        std::cout << ' ' << each.vm() << (each.self() ? "*" : "");
    std::cout << "\n\n";
}

void printQueues(const wire::status &status)
{
    table rows{{"QUEUE", "POOL", "UPSTREAMS", "SLOTS"}};
    for (const wire::queue_status &each : status.queues())
        rows.addRow({each.name(), each.pool(), std::to_string(each.upstreams()),
                     std::to_string(each.slots())});
    rows.print(std::cout);
    std::cout << '\n';
}

void printPools(const wire::status &status)
{
    table rows{{"POOL", "VMS", "WANTED", "SERVING", "UNAVAILABLE", "BUDGET", "REASON"}};
    for (const wire::pool_status &each : status.pools())
        rows.addRow({each.name(), std::to_string(each.vms()),
                     each.wanted() > 0 ? std::to_string(each.wanted()) : "-",
                     std::to_string(each.serving()), std::to_string(each.unavailable()),
                     std::to_string(each.budget()), each.reason()});
    rows.print(std::cout);
    std::cout << '\n';
}

void printZones(const wire::status &status)
{
    table rows{{"ZONE", "STATE", "VMS", "SERVING"}};
    for (const wire::zone_status &each : status.zones())
        rows.addRow({each.name(), each.out() ? "out" : "in", std::to_string(each.vms()),
                     std::to_string(each.serving())});
    rows.print(std::cout);
}

} // namespace

void showStatus(const daemon_client &client, const command_words &)
{
    wire::status status;
    fetch(client, "/v1/status", status);
    if (FLAGS_json) {
        printJson(status);
        return;
    }
    printSummary(status);
    printQueues(status);
    printPools(status);
    printZones(status);
}

void listPools(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    printList(config, {"POOL", "MINIMUM", "MAXIMUM", "UNAVAILABLE", "SPARE"}, config.pools(),
              [](const wire::pool &each) {
                  return table::value_type{each.name(), std::to_string(each.minimum_vms()),
                                           std::to_string(each.maximum_vms()),
                                           std::to_string(each.unavailable_vms()),
                                           yesNo(each.spare())};
              });
}

void listQueues(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    printList(config, {"QUEUE", "POOL", "OPEN", "IDEMPOTENT", "WAIT", "PERCENTILE"},
              config.queues(), [](const wire::queue &each) {
                  return table::value_type{each.name(),
                                           each.pool(),
                                           yesNo(each.open()),
                                           yesNo(each.idempotent()),
                                           std::to_string(each.target().wait_ms()) + " ms",
                                           std::to_string(each.target().percentile())};
              });
}

void listTeams(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    printList(config, {"TEAM", "SHARE", "LIMIT"}, config.teams(), [](const wire::team &each) {
        return table::value_type{each.name(), std::to_string(each.share()),
                                 std::to_string(each.limit())};
    });
}

void listKeys(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    printList(config, {"KEY-ID", "TEAM"}, config.keys(), [](const wire::team_key &each) {
        return table::value_type{each.id(), each.team()};
    });
}

void listZones(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    printList(config, {"ZONE", "STATE"}, config.zones(), [](const wire::availability_zone &each) {
        return table::value_type{each.name(), each.out() ? "out" : "in"};
    });
}

void listWaves(const daemon_client &client, const command_words &)
{
    wire::fleet_document fleet;
    fetch(client, "/v1/fleet", fleet);
    printList(fleet, {"WAVE", "DONE", "FAILED", "OF", "STARTED", "ENDED", "PAUSED"}, fleet.waves(),
              [](const wire::wave_progress &each) {
                  return table::value_type{
                      each.id(),
                      std::to_string(each.completed()),
                      std::to_string(each.failed()),
                      std::to_string(each.total()),
                      formatUtcTime(each.started_ms()),
                      each.finished_ms() == 0 ? "-" : formatUtcTime(each.finished_ms()),
                      each.paused().empty() ? "-" : each.paused()};
              });
}

void listVms(const daemon_client &client, const command_words &)
{
    wire::fleet_document fleet;
    fetch(client, "/v1/fleet", fleet);
    printList(fleet, {"VM", "ZONE", "RACK", "POOL", "STATE", "SINCE", "REASON"}, fleet.vms(),
              [](const wire::fleet_vm &each) {
                  constexpr std::string_view prefix{"VM_STATE_"};
                  return table::value_type{each.id(),
                                           each.zone(),
                                           each.rack(),
                                           each.pool(),
                                           wire::vm_state_Name(each.state()).substr(prefix.size()),
                                           formatUtcTime(each.since_ms()),
                                           each.reason()};
              });
}

void showAudit(const daemon_client &client, const command_words &)
{
    wire::audit_list audit;
    fetch(client, "/v1/audit?most=" + std::to_string(FLAGS_most), audit);
    printList(audit, {"WHEN", "WHO", "VERB", "ENTITY", "REASON", "FROM", "TO"}, audit.records(),
              [](const wire::audit_record &each) {
                  return table::value_type{formatUtcTime(each.committed_at_ms()),
                                           each.operator_name(),
                                           each.verb(),
                                           each.entity(),
                                           each.reason().empty() ? "-" : each.reason(),
                                           each.before().empty() ? "-" : each.before(),
                                           each.after().empty() ? "-" : each.after()};
              });
}

} // namespace azurelb::cli
