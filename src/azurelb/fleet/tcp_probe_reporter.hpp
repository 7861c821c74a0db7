#pragma once

#include <azurelb/core/clock_source.hpp>
#include <azurelb/fleet/vm_reporter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace azurelb {

/**
 * Probes VMs in the probing state with TCP connections to their executors. It reports neither
 * running requests nor demand; with this reporter alone, every drain lasts until its timeout and
 * pools keep their minimum size.
 */
class tcp_probe_reporter final : public vm_reporter
{
public:
    tcp_probe_reporter(boost::asio::io_context &loop, const clock_source &clock);

    void refresh(const wire::fleet_document &fleet, const wire::vm_list &list) override;
    [[nodiscard]] std::vector<vm_observation> observe() const override;
    [[nodiscard]] std::vector<queue_demand> demand() const override { return {}; }

private:
    struct probe;

    void startProbe(const std::string &vm, const std::string &address);

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    std::unordered_map<std::string, std::shared_ptr<probe>> m_probes{};
};

} // namespace azurelb
