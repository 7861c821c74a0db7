#include <azurelb/core/kernel.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/peer/nng_transport.hpp>
#include <azurelb/peer/peer_address.hpp>
#include <azurelb/platform/vm_list_source.hpp>
#include <azurelb/wire/platform.pb.h>
#include <azurelbd/peer_directory.hpp>

#include <map>

namespace azurelb {

namespace {

void addEntryVmAddresses(std::map<vm_id, std::string> &addresses, const wire::vm_list &list)
{
    for (const wire::listed_vm &vm : list.vms()) {
        if (vm.entry())
            addresses.insert_or_assign(vm_id{vm.id()}, vm.address());
    }
}

} // namespace

peer_directory::peer_directory(std::vector<peer_setting> configured)
    : m_configuredPeers{std::move(configured)}
{ }

void peer_directory::start(kernel &services)
{
    m_transport = &services.find<nng_transport>(peer_transport::serviceName);
    m_members = &services.find<heartbeat_membership>(membership::serviceName);
    m_vmList = &services.find<vm_list_source>(vm_list_source::serviceName);
    m_members->setRedialHandler([this](const vm_id &silent) { m_transport->redial(silent); });
    m_vmList->subscribe([this] { updatePeers(); });
    updatePeers();
}

void peer_directory::updatePeers()
{
    std::map<vm_id, std::string> addresses;
    if (const auto list = m_vmList->list())
        addEntryVmAddresses(addresses, *list);
    for (const peer_setting &each : m_configuredPeers)
        addresses.insert_or_assign(each.vm, each.address);
    addresses.erase(m_transport->self());

    std::vector<peer_address> peers;
    std::vector<vm_id> vms;
    for (const auto &[vm, address] : addresses) {
        peers.push_back({vm, address});
        vms.push_back(vm);
    }
    m_transport->setPeers(peers);
    m_members->setPeers(vms);
}

} // namespace azurelb
