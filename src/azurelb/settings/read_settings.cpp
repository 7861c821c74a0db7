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

DEFINE_string(vm_id, "", "Name of this VM, as in the platform's list of VMs");
DEFINE_string(zone, "", "Availability zone of this VM");
DEFINE_string(listen, "", "IP:PORT for callers");
DEFINE_string(operator_listen, "", "IP:PORT for operators, metrics and health");
DEFINE_string(peer_listen, "", "IP:PORT for messages from peers");
DEFINE_string(peers, "", "Peers in addition to the platform's entry VMs: VM@IP:PORT,...");
DEFINE_string(store_endpoints, "", "Addresses of the store: IP:PORT,...");
DEFINE_string(platform_endpoint, "", "IP:PORT of the platform's list of VMs");
DEFINE_string(operator_tokens_file, "",
              "File with one operator a line, NAME:TOKEN. Without it the environment variable "
              "AZURELB_OPERATOR_TOKENS holds NAME:TOKEN,...");
DEFINE_uint32(entry_vms, 9, "Number of daemons in the whole installation, 1 to 99");
DEFINE_uint32(freshness_ms, 2000,
              "Longest time without a confirmed view during which work is started");
DEFINE_uint32(drain_delay_ms, 1000, "Time from reporting not ready to closing the listeners");
DEFINE_uint32(request_timeout_ms, 30000, "Timeout of a request that specifies none");
DEFINE_uint32(longest_timeout_ms, 60000, "Longest timeout that a request may specify");
DEFINE_uint32(body_bytes, 8 * 1024 * 1024, "Largest body of a caller's request");
DEFINE_uint32(answer_bytes, 16 * 1024 * 1024, "Largest response of an upstream");
DEFINE_uint32(caller_connections, 4096, "Maximum number of open connections of callers");
DEFINE_uint32(upstream_connections, 64,
              "Maximum number of connections to one upstream, over all daemons");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace azurelb {

namespace {

/** Collects the errors of all settings. */
class settings_error_list
{
public:
    void add(std::string_view setting, std::string value, std::string allowed)
    {
        m_errors.push_back({"--" + std::string{setting}, std::move(value), std::move(allowed)});
    }

    void add(std::vector<settings_error> errors)
    {
        std::move(errors.begin(), errors.end(), std::back_inserter(m_errors));
    }

    [[nodiscard]] std::vector<settings_error> take() noexcept { return std::move(m_errors); }

    [[nodiscard]] bool empty() const noexcept { return m_errors.empty(); }

private:
    std::vector<settings_error> m_errors{};
};

bool isValidName(const std::string &text)
{
    constexpr std::size_t maxLength = 63;
    constexpr std::string_view allowed{"abcdefghijklmnopqrstuvwxyz0123456789-"};
    return !text.empty() && text.size() <= maxLength
        && text.find_first_not_of(allowed) == std::string::npos;
}

void checkName(settings_error_list &errors, std::string_view setting, const std::string &value)
{
    if (!isValidName(value))
        errors.add(setting, value, "a name of 1 to 63 characters a-z, 0-9 and -");
}

void checkEndpoint(settings_error_list &errors, std::string_view setting, const std::string &value)
{
    if (!parseEndpoint(value))
        errors.add(setting, value, "IP:PORT, such as 127.0.0.1:8080");
}

void checkRange(settings_error_list &errors, std::string_view setting, std::uint64_t value,
                std::uint64_t minimum, std::uint64_t maximum)
{
    if (value < minimum || value > maximum)
        errors.add(setting, std::to_string(value),
                   std::to_string(minimum) + " to " + std::to_string(maximum));
}

std::vector<peer_setting> readPeers(settings_error_list &errors)
{
    std::vector<peer_setting> peers;
    for (const std::string &each : splitList(FLAGS_peers)) {
        const auto at = each.find('@');
        const std::string name = each.substr(0, at);
        if (at == std::string::npos || !isValidName(name)) {
            errors.add("peers", each, "VM@IP:PORT,...");
            continue;
        }
        peers.push_back({vm_id{name}, each.substr(at + 1)});
        checkEndpoint(errors, "peers", peers.back().address);
    }
    return peers;
}

std::vector<std::string> readOperatorLines(settings_error_list &errors)
{
    if (FLAGS_operator_tokens_file.empty()) {
        const char *variable = std::getenv("AZURELB_OPERATOR_TOKENS");
        return splitList(variable ? variable : "");
    }
    std::ifstream file{FLAGS_operator_tokens_file};
    if (!file)
        errors.add("operator_tokens_file", FLAGS_operator_tokens_file, "a readable file");
    std::ostringstream content;
    content << file.rdbuf();
    return splitList(content.str(), '\n');
}

// The values of this setting are secrets: an error gives the number of the entry, never its text.
std::vector<operator_setting> readOperators(settings_error_list &errors)
{
    constexpr std::size_t minTokenLength = 16;
    std::vector<operator_setting> operators;
    for (const std::string &line : readOperatorLines(errors)) {
        const auto colon = line.find(':');
        const bool complete = colon != std::string::npos && isValidName(line.substr(0, colon))
            && line.size() - colon - 1 >= minTokenLength;
        if (complete)
            operators.push_back({line.substr(0, colon), line.substr(colon + 1)});
        else
            errors.add("operator_tokens_file", "entry " + std::to_string(operators.size() + 1),
                       "NAME:TOKEN with a token of at least 16 characters");
    }
    if (operators.empty())
        errors.add("operator_tokens_file", "",
                   "a file, or AZURELB_OPERATOR_TOKENS, with at least one NAME:TOKEN");
    return operators;
}

severity readSeverity(settings_error_list &errors)
{
    constexpr severity levels[]{severity::debug, severity::info, severity::warning,
                                severity::error};
    for (const severity level : levels) {
        if (toString(level) == FLAGS_log_level)
            return level;
    }
    errors.add("log_level", FLAGS_log_level, "debug, info, warning or error");
    return severity::info;
}

void readAddresses(settings_error_list &errors, settings &result)
{
    checkEndpoint(errors, "listen", FLAGS_listen);
    checkEndpoint(errors, "operator_listen", FLAGS_operator_listen);
    checkEndpoint(errors, "peer_listen", FLAGS_peer_listen);
    checkEndpoint(errors, "platform_endpoint", FLAGS_platform_endpoint);
    result.callers.listen = FLAGS_listen;
    result.operatorListen = FLAGS_operator_listen;
    result.peerListen = FLAGS_peer_listen;
    result.platformEndpoint = FLAGS_platform_endpoint;
    result.storeEndpoints = splitList(FLAGS_store_endpoints);
    if (result.storeEndpoints.empty())
        errors.add("store_endpoints", "", "IP:PORT,... with at least one address");
    for (const std::string &each : result.storeEndpoints)
        checkEndpoint(errors, "store_endpoints", each);
}

void readLimits(settings_error_list &errors, settings &result)
{
    constexpr std::uint64_t mebibyte = 1024 * 1024;
    checkRange(errors, "entry_vms", FLAGS_entry_vms, 1, 99);
    checkRange(errors, "freshness_ms", FLAGS_freshness_ms, 500, 2500);
    checkRange(errors, "drain_delay_ms", FLAGS_drain_delay_ms, 0, 60'000);
    checkRange(errors, "longest_timeout_ms", FLAGS_longest_timeout_ms, 1, 600'000);
    checkRange(errors, "request_timeout_ms", FLAGS_request_timeout_ms, 1, FLAGS_longest_timeout_ms);
    checkRange(errors, "body_bytes", FLAGS_body_bytes, 1, 256 * mebibyte);
    checkRange(errors, "answer_bytes", FLAGS_answer_bytes, 1, 256 * mebibyte);
    checkRange(errors, "caller_connections", FLAGS_caller_connections, 1, 100'000);
    checkRange(errors, "upstream_connections", FLAGS_upstream_connections, FLAGS_entry_vms, 10'000);

    result.entryVms = FLAGS_entry_vms;
    result.freshness = std::chrono::milliseconds{FLAGS_freshness_ms};
    result.drainDelay = std::chrono::milliseconds{FLAGS_drain_delay_ms};
    result.callers.defaultTimeout = std::chrono::milliseconds{FLAGS_request_timeout_ms};
    result.callers.maxTimeout = std::chrono::milliseconds{FLAGS_longest_timeout_ms};
    result.callers.limits.maxBodyBytes = FLAGS_body_bytes;
    result.callers.limits.maxConnections = FLAGS_caller_connections;
    result.connections.maxResponseBytes = FLAGS_answer_bytes;
    result.connections.maxPerUpstream = FLAGS_upstream_connections / std::max(FLAGS_entry_vms, 1U);
}

} // namespace

std::variant<settings, std::vector<settings_error>> readSettings(int argc, char **argv)
{
    gflags::SetUsageMessage("azurelbd: the daemon of azurelb. Each flag can be given as the "
                            "environment variable AZURELB_<FLAG> instead.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    settings_error_list errors;
    errors.add(setFlagsFromEnvironment("settings/read_settings.cpp"));
    settings result;
    checkName(errors, "vm_id", FLAGS_vm_id);
    checkName(errors, "zone", FLAGS_zone);
    result.vm = vm_id{FLAGS_vm_id};
    result.zone = zone_name{FLAGS_zone};
    result.minSeverity = readSeverity(errors);
    result.peers = readPeers(errors);
    result.operators = readOperators(errors);
    readAddresses(errors, result);
    readLimits(errors, result);
    for (int index = 1; index < argc; ++index)
        errors.add("", argv[index], "no arguments other than flags");
    if (errors.empty())
        return result;
    return errors.take();
}

} // namespace azurelb
