#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/jobs/resources.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace azurelb {

/** State of a VM in the platform's list. */
enum class vm_state { up, moving, maintenance, down };

/** One VM of the platform's list. */
struct vm_entry
{
    std::string vm{};
    std::string pool{};
    vm_state state{vm_state::down};
    std::string zone{};
    resources capacity{};
    executor_id executor{};
};

/** The whole list; not ok if it could not be read. */
struct vm_listing
{
    bool ok{false};
    std::vector<vm_entry> vms{};
};

/** How the platform took an order for a VM. */
enum class vm_order_outcome {
    done,
    /** A newer owner has ordered on this VM. */
    fenced,
    /** The VM is not up, or is leaving. */
    busy,
    /** The VM is not in the wave, or not allowed in the pool. */
    refused,
    /** Too many calls; nothing was done. */
    throttled,
    /** The effect is unknown; the list will tell. */
    unknown
};

/** The platform's VMs: list, moves between pools, maintenance. Handlers run on the event loop. */
class vm_service
{
public:
    using list_handler = std::function<void(vm_listing &&)>;
    using order_handler = std::function<void(vm_order_outcome)>;

    vm_service() = default;
    vm_service(const vm_service &) = delete;
    vm_service &operator=(const vm_service &) = delete;
    virtual ~vm_service() = default;

    virtual void setToken(std::int64_t token) = 0;
    virtual void list(list_handler done) = 0;

    /** Ends all runs on the VM; a new executor joins the pool later. */
    virtual void move(const std::string &vm, const std::string &pool, order_handler done) = 0;

    /** Ends all runs on the VM; a new executor joins its pool later. */
    virtual void maintain(const std::string &vm, std::int64_t wave, order_handler done) = 0;
};

} // namespace azurelb
