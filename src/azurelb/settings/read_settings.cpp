#include <azurelb/core/split_list.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/settings/environment_flags.hpp>
#include <azurelb/settings/read_settings.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

DEFINE_string(vm_id, "", "Name of this VM, the same as in the platform's list");
DEFINE_string(zone, "", "Availability zone of this VM");
DEFINE_string(listen, "", "IP:PORT for callers");
DEFINE_string(operator_listen, "", "IP:PORT for operators, metrics and health");
DEFINE_string(peer_listen, "", "IP:PORT for messages from peers");
DEFINE_string(peers, "", "Peers beside the platform's entry VMs: VM@IP:PORT,...");
DEFINE_string(store_endpoints, "", "Store's addresses: IP:PORT,...");
DEFINE_string(platform_endpoint, "", "IP:PORT of the platform's list of VMs");
DEFINE_string(operator_tokens_file, "",
              "File with one operator a line, NAME:TOKEN. Without it the environment variable "
              "AZURELB_OPERATOR_TOKENS holds NAME:TOKEN,...");
DEFINE_uint32(entry_vms, 9, "Daemons of the whole installation, 1 to 99");
DEFINE_uint32(freshness_ms, 2000, "Longest time without a confirmed view in which work starts");
DEFINE_uint32(drain_delay_ms, 1000, "Time between not ready and the end of listening");
DEFINE_uint32(request_timeout_ms, 30000, "Time of a request that names none");
DEFINE_uint32(longest_timeout_ms, 60000, "Longest time that a request may name");
DEFINE_uint32(body_bytes, 8 * 1024 * 1024, "Largest body of a caller's request");
DEFINE_uint32(answer_bytes, 16 * 1024 * 1024, "Largest answer of an upstream");
DEFINE_uint32(caller_connections, 4096, "Connections of callers at one moment");
DEFINE_uint32(upstream_connections, 64, "Connections to one upstream over all daemons");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace azurelb {

namespace {

/** Collects the faults of all settings. */
class fault_list
{
public:
    void add(std::string_view setting, std::string value, std::string allowed)
    {
        m_faults.push_back({"--" + std::string{setting}, std::move(value), std::move(allowed)});
    }

    void add(std::vector<settings_fault> faults)
    {
        std::move(faults.begin(), faults.end(), std::back_inserter(m_faults));
    }

    [[nodiscard]] std::vector<settings_fault> take() noexcept { return std::move(m_faults); }

    [[nodiscard]] bool empty() const noexcept { return m_faults.empty(); }

private:
    std::vector<settings_fault> m_faults{};
};

bool isName(const std::string &text)
{
    constexpr std::size_t longest = 63;
    constexpr std::string_view allowed{"abcdefghijklmnopqrstuvwxyz0123456789-"};
    return !text.empty() && text.size() <= longest
        && text.find_first_not_of(allowed) == std::string::npos;
}

void checkName(fault_list &faults, std::string_view setting, const std::string &value)
{
    if (!isName(value))
        faults.add(setting, value, "a name of 1 to 63 characters a-z, 0-9 and -");
}

void checkEndpoint(fault_list &faults, std::string_view setting, const std::string &value)
{
    if (!parseEndpoint(value))
        faults.add(setting, value, "IP:PORT, such as 127.0.0.1:8080");
}

void checkRange(fault_list &faults, std::string_view setting, std::uint64_t value,
                std::uint64_t least, std::uint64_t most)
{
    if (value < least || value > most)
        faults.add(setting, std::to_string(value),
                   std::to_string(least) + " to " + std::to_string(most));
}

std::vector<peer_setting> readPeers(fault_list &faults)
{
    std::vector<peer_setting> peers;
    for (const std::string &each : splitList(FLAGS_peers)) {
        const auto at = each.find('@');
        const std::string name = each.substr(0, at);
        if (at == std::string::npos || !isName(name)) {
            faults.add("peers", each, "VM@IP:PORT,...");
            continue;
        }
        peers.push_back({vm_id{name}, each.substr(at + 1)});
        checkEndpoint(faults, "peers", peers.back().address);
    }
    return peers;
}

std::vector<std::string> operatorLines(fault_list &faults)
{
    if (FLAGS_operator_tokens_file.empty()) {
        const char *variable = std::getenv("AZURELB_OPERATOR_TOKENS");
        return splitList(variable ? variable : "");
    }
    std::ifstream file{FLAGS_operator_tokens_file};
    if (!file)
        faults.add("operator_tokens_file", FLAGS_operator_tokens_file, "a file that can be read");
    std::ostringstream content;
    content << file.rdbuf();
    return splitList(content.str(), '\n');
}

// Values of this setting are secrets: a fault names the place, never the text.
std::vector<operator_setting> readOperators(fault_list &faults)
{
    constexpr std::size_t shortestToken = 16;
    std::vector<operator_setting> operators;
    for (const std::string &line : operatorLines(faults)) {
        const auto colon = line.find(':');
        const bool complete = colon != std::string::npos && isName(line.substr(0, colon))
            && line.size() - colon - 1 >= shortestToken;
        if (complete)
            operators.push_back({line.substr(0, colon), line.substr(colon + 1)});
        else
            faults.add("operator_tokens_file", "entry " + std::to_string(operators.size() + 1),
                       "NAME:TOKEN with a token of at least 16 characters");
    }
    if (operators.empty())
        faults.add("operator_tokens_file", "",
                   "a file, or AZURELB_OPERATOR_TOKENS, with at least one NAME:TOKEN");
    return operators;
}

severity readSeverity(fault_list &faults)
{
    constexpr severity levels[]{severity::debug, severity::info, severity::warning,
                                severity::error};
    for (const severity level : levels) {
        if (toString(level) == FLAGS_log_level)
            return level;
    }
    faults.add("log_level", FLAGS_log_level, "debug, info, warning or error");
    return severity::info;
}

void readAddresses(fault_list &faults, settings &read)
{
    checkEndpoint(faults, "listen", FLAGS_listen);
    checkEndpoint(faults, "operator_listen", FLAGS_operator_listen);
    checkEndpoint(faults, "peer_listen", FLAGS_peer_listen);
    checkEndpoint(faults, "platform_endpoint", FLAGS_platform_endpoint);
    read.callers.listen = FLAGS_listen;
    read.operatorListen = FLAGS_operator_listen;
    read.peerListen = FLAGS_peer_listen;
    read.platformEndpoint = FLAGS_platform_endpoint;
    read.storeEndpoints = splitList(FLAGS_store_endpoints);
    if (read.storeEndpoints.empty())
        faults.add("store_endpoints", "", "IP:PORT,... with at least one address");
    for (const std::string &each : read.storeEndpoints)
        checkEndpoint(faults, "store_endpoints", each);
}

void readBounds(fault_list &faults, settings &read)
{
    constexpr std::uint64_t mebibyte = 1024 * 1024;
    checkRange(faults, "entry_vms", FLAGS_entry_vms, 1, 99);
    checkRange(faults, "freshness_ms", FLAGS_freshness_ms, 500, 2500);
    checkRange(faults, "drain_delay_ms", FLAGS_drain_delay_ms, 0, 60'000);
    checkRange(faults, "longest_timeout_ms", FLAGS_longest_timeout_ms, 1, 600'000);
    checkRange(faults, "request_timeout_ms", FLAGS_request_timeout_ms, 1, FLAGS_longest_timeout_ms);
    checkRange(faults, "body_bytes", FLAGS_body_bytes, 1, 256 * mebibyte);
    checkRange(faults, "answer_bytes", FLAGS_answer_bytes, 1, 256 * mebibyte);
    checkRange(faults, "caller_connections", FLAGS_caller_connections, 1, 100'000);
    checkRange(faults, "upstream_connections", FLAGS_upstream_connections, FLAGS_entry_vms, 10'000);

    read.entryVms = FLAGS_entry_vms;
    read.freshness = std::chrono::milliseconds{FLAGS_freshness_ms};
    read.drainDelay = std::chrono::milliseconds{FLAGS_drain_delay_ms};
    read.callers.defaultTimeout = std::chrono::milliseconds{FLAGS_request_timeout_ms};
    read.callers.maxTimeout = std::chrono::milliseconds{FLAGS_longest_timeout_ms};
    read.callers.limits.maxBodyBytes = FLAGS_body_bytes;
    read.callers.limits.maxConnections = FLAGS_caller_connections;
    read.connections.maxResponseBytes = FLAGS_answer_bytes;
    read.connections.maxPerUpstream = FLAGS_upstream_connections / std::max(FLAGS_entry_vms, 1U);
}

} // namespace

std::variant<settings, std::vector<settings_fault>> readSettings(int argc, char **argv)
{
    gflags::SetUsageMessage("azurelbd: the daemon of azurelb. Each flag can be given as the "
                            "environment variable AZURELB_<FLAG> instead.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    fault_list faults;
    faults.add(setFlagsFromEnvironment("settings/read_settings.cpp"));
    settings read;
    checkName(faults, "vm_id", FLAGS_vm_id);
    checkName(faults, "zone", FLAGS_zone);
    read.vm = vm_id{FLAGS_vm_id};
    read.zone = zone_name{FLAGS_zone};
    read.leastSeverity = readSeverity(faults);
    read.peers = readPeers(faults);
    read.operators = readOperators(faults);
    readAddresses(faults, read);
    readBounds(faults, read);
    for (int index = 1; index < argc; ++index)
        faults.add("", argv[index], "no words beside flags");
    if (faults.empty())
        return read;
    return faults.take();
}

} // namespace azurelb
