#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/upstream/upstream_directory.hpp>

#include <unordered_map>

namespace azurelb {

class vm_list_source;

/**
 * Determines the eligible upstreams from the configuration, the fleet document and the platform's
 * VM list.
 */
class view_upstream_directory final : public upstream_directory
{
public:
    view_upstream_directory() = default;

    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] std::vector<upstream_vm> eligible(const queue_name &queue) const override;
    void subscribe(std::function<void()> changed) override;

private:
    void rebuild();

    document_source *m_documents{nullptr};
    vm_list_source *m_vmList{nullptr};
    std::unordered_map<queue_name, std::vector<upstream_vm>> m_eligible{};
    std::vector<std::function<void()>> m_subscribers{};
};

} // namespace azurelb
