#include <azurelb/fleet/tcp_probe_reporter.hpp>

#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/wire/fleet.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <optional>

namespace azurelb {

namespace {

using tcp = boost::asio::ip::tcp;

/** Time after which a pending connection counts as failed. */
constexpr std::chrono::seconds connectTimeout{2};

} // namespace

struct tcp_probe_reporter::probe
{
    explicit probe(boost::asio::io_context &loop)
        : socket{loop}
    { }

    tcp::socket socket;
    time_point began{};
    bool isOpen{false};
    vm_observation seen{};
};

tcp_probe_reporter::tcp_probe_reporter(boost::asio::io_context &loop, const clock_source &clock)
    : m_loop{loop}
    , m_clock{clock}
{ }

void tcp_probe_reporter::refresh(const wire::fleet_document &fleet, const wire::vm_list &list)
{
    const vm_index index{list};
    std::unordered_map<std::string, std::shared_ptr<probe>> earlier;
    earlier.swap(m_probes);
    for (const wire::fleet_vm &vm : fleet.vms()) {
        const wire::listed_vm *listed = index.find(vm.id());
        if (vm.state() != wire::VM_STATE_PROBING || !listed)
            continue;
        const auto found = earlier.find(vm.id());
        if (found != earlier.end())
            m_probes.emplace(vm.id(), found->second);
        startProbe(vm.id(), listed->address());
    }
}

void tcp_probe_reporter::startProbe(const std::string &vm, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return;
    std::shared_ptr<probe> &kept = m_probes[vm];
    const bool isPending = kept && kept->isOpen && m_clock.now() - kept->began < connectTimeout;
    if (isPending)
        return;
    const bool isTimedOut = kept && kept->isOpen;
    auto next = std::make_shared<probe>(m_loop);
    if (kept)
        next->seen = kept->seen;
    if (isTimedOut)
        next->seen = {vm_id{vm}, std::nullopt, probe_result::failed, kept->began};
    next->began = m_clock.now();
    next->isOpen = true;
    kept = next;
    next->socket.async_connect(*endpoint, [next, vm](const boost::system::error_code &failure) {
        next->isOpen = false;
        const probe_result result = failure ? probe_result::failed : probe_result::passed;
        next->seen = {vm_id{vm}, std::nullopt, result, next->began};
        boost::system::error_code ignored;
        (void)next->socket.close(ignored);
    });
}

std::vector<vm_observation> tcp_probe_reporter::observe() const
{
    std::vector<vm_observation> all;
    for (const auto &each : m_probes) {
        if (each.second && each.second->seen.probe != probe_result::unknown)
            all.push_back(each.second->seen);
    }
    return all;
}

} // namespace azurelb
