#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

#include <functional>
#include <vector>

namespace azurelb {

/** Lists the upstreams that may receive new requests of each queue. */
class upstream_directory : public service
{
public:
    /** Name under which the kernel finds this service. */
    static constexpr std::string_view serviceName{"upstreams"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Upstreams that may receive new requests of the queue now, sorted by VM id. */
    [[nodiscard]] virtual std::vector<upstream_vm> eligible(const queue_name &queue) const = 0;

    /** Registers a handler that is called whenever the result of eligible() changes. */
    virtual void subscribe(std::function<void()> changed) = 0;
};

} // namespace azurelb
