#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/platform/vm_list_source.hpp>
#include <azurelb/upstream/eligible_upstreams.hpp>
#include <azurelb/upstream/view_upstream_directory.hpp>

namespace azurelb {

void view_upstream_directory::start(kernel &services)
{
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_vmList = &services.find<vm_list_source>(vm_list_source::serviceName);
    m_documents->subscribe([this] { rebuild(); });
    m_vmList->subscribe([this] { rebuild(); });
    rebuild();
}

void view_upstream_directory::stop() noexcept { }

std::vector<upstream_vm> view_upstream_directory::eligible(const queue_name &queue) const
{
    const auto found = m_eligible.find(queue);
    return found == m_eligible.end() ? std::vector<upstream_vm>{} : found->second;
}

void view_upstream_directory::subscribe(std::function<void()> changed)
{
    m_subscribers.push_back(std::move(changed));
}

void view_upstream_directory::rebuild()
{
    const config_view_ptr config = m_documents->config();
    const fleet_view_ptr fleet = m_documents->fleet();
    const auto list = m_vmList->list();
    if (!list)
        return;
    std::unordered_map<queue_name, std::vector<upstream_vm>> rebuilt;
    for (const wire::queue &each : config->document().queues()) {
        const queue_name name{each.name()};
        rebuilt.emplace(name, eligibleUpstreams(name, *config, *fleet, *list));
    }
    if (rebuilt == m_eligible)
        return;
    m_eligible = std::move(rebuilt);
    for (const auto &changed : m_subscribers)
        changed();
}

} // namespace azurelb
