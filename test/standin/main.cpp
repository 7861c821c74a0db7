#include "address.hpp"
#include "control_mode.hpp"
#include "executor_mode.hpp"
#include "forwarder.hpp"
#include "http_server.hpp"
#include "json.hpp"
#include "platform_mode.hpp"
#include "store_mode.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <stdexcept>

DEFINE_string(mode, "", "store, platform, executor or forwarder");
DEFINE_string(listen, "127.0.0.1:0", "comma-separated addresses to listen on");
DEFINE_int32(ports, 0, "number of ephemeral ports to listen on instead of --listen");
DEFINE_string(control, "", "address of the control port, which is unaffected by faults");
DEFINE_string(target, "", "forwarder: address to forward to");
DEFINE_string(vms, "", "platform: file with the initial list of VMs as JSON");
DEFINE_int32(reboot_ms, 1000, "platform: duration of a reboot");
DEFINE_int32(lag_ms, 0, "platform: age of the VM list that is served");
DEFINE_int32(run_ms, 0, "executor: duration of a request; the header X-Run-Ms overrides it");
DEFINE_int32(slots, 8, "executor: maximum number of concurrent requests");

namespace {

using namespace azurelb;
using namespace azurelb::standin;

/** The services of this process and their event loop. */
struct process_state
{
    asio::io_context loop{1};
    std::vector<std::unique_ptr<mode>> modes;
    std::vector<std::unique_ptr<http_server>> servers;
    std::vector<tcp::endpoint> addresses;
};

std::vector<tcp::endpoint> listenAddresses()
{
    if (FLAGS_ports > 0)
        return std::vector(static_cast<std::size_t>(FLAGS_ports), parseAddress("127.0.0.1:0"));
    return parseAddresses(FLAGS_listen);
}

void serve(process_state &process, std::unique_ptr<mode> served, const tcp::endpoint &address)
{
    auto server = std::make_unique<http_server>(process.loop, address, *served);
    process.addresses.push_back(server->address());
    process.modes.push_back(std::move(served));
    process.servers.push_back(std::move(server));
}

void addStore(process_state &process, const tcp::endpoint &address)
{
    serve(process, std::make_unique<store_mode>(), address);
}

wire::vm_list readVms()
{
    wire::vm_list vms;
    if (FLAGS_vms.empty())
        return vms;
    std::ifstream file{FLAGS_vms};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    if (!file || !fromJson(text, vms))
        throw std::invalid_argument{"not a valid VM list: " + FLAGS_vms};
    return vms;
}

void addPlatform(process_state &process, const tcp::endpoint &address)
{
    const platform_options options{std::chrono::milliseconds{FLAGS_reboot_ms},
                                   std::chrono::milliseconds{FLAGS_lag_ms}};
    serve(process, std::make_unique<platform_mode>(process.loop, options, readVms()), address);
}

void addExecutor(process_state &process, const tcp::endpoint &address)
{
    const executor_options options{std::chrono::milliseconds{FLAGS_run_ms},
                                   static_cast<std::uint32_t>(FLAGS_slots)};
    serve(process, std::make_unique<executor_mode>(process.loop, options), address);
}

void addForwarder(process_state &process, const tcp::endpoint &address)
{
    auto added = std::make_unique<forwarder>(process.loop, address, parseAddress(FLAGS_target));
    process.addresses.push_back(added->address());
    process.modes.push_back(std::move(added));
}

struct named_mode
{
    std::string_view name;
    void (*add)(process_state &, const tcp::endpoint &);
};

constexpr std::array<named_mode, 4> namedModes{{{"store", addStore},
                                                {"platform", addPlatform},
                                                {"executor", addExecutor},
                                                {"forwarder", addForwarder}}};

const named_mode &selectedMode()
{
    const auto found = std::find_if(namedModes.begin(), namedModes.end(),
                                    [](const named_mode &each) { return each.name == FLAGS_mode; });
    if (found == namedModes.end())
        throw std::invalid_argument{"--mode must be store, platform, executor or forwarder"};
    return *found;
}

/** Opens the control port. A forwarder always has one, since its own port does not speak HTTP. */
void addControl(process_state &process)
{
    const bool needed = FLAGS_mode == "forwarder";
    if (FLAGS_control.empty() && !needed)
        return;
    std::vector<mode *> controlled;
    for (const auto &each : process.modes)
        controlled.push_back(each.get());
    process.modes.push_back(std::make_unique<control_mode>(std::move(controlled)));
    const auto address = parseAddress(FLAGS_control.empty() ? "127.0.0.1:0" : FLAGS_control);
    process.servers.push_back(
        std::make_unique<http_server>(process.loop, address, *process.modes.back()));
}

void run()
{
    process_state process;
    asio::signal_set signals{process.loop, SIGTERM, SIGINT};
    signals.async_wait([&process](boost::system::error_code, int) { process.loop.stop(); });
    for (const tcp::endpoint &address : listenAddresses())
        selectedMode().add(process, address);
    const std::size_t serverCount = process.servers.size();
    addControl(process);
    for (const tcp::endpoint &address : process.addresses)
        std::cout << "listening " << toString(address) << '\n';
    if (process.servers.size() > serverCount)
        std::cout << "control " << toString(process.servers.back()->address()) << '\n';
    std::cout << std::flush;
    process.loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("simulates one service of the platform in tests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception &failure) {
        std::cerr << "azurelb_standin: " << failure.what() << '\n';
        return 2;
    }
    return 0;
}
