#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/settings/peer_setting.hpp>

#include <vector>

namespace azurelb {

class heartbeat_membership;
class nng_transport;
class vm_list_source;

/**
 * Service that gives transport and membership the addresses of the peers: those of the settings and
 * the entry VMs of the platform's list. For a VM in both, the settings take precedence.
 */
class peer_directory final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"peer_directory"};

    explicit peer_directory(std::vector<peer_setting> configured);

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &services) override;
    void stop() noexcept override { }

private:
    void updatePeers();

    std::vector<peer_setting> m_configuredPeers;
    nng_transport *m_transport{nullptr};
    heartbeat_membership *m_members{nullptr};
    vm_list_source *m_vmList{nullptr};
};

} // namespace azurelb
