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

/** The platform's complete list of VMs; ok is false if it could not be read. */
struct vm_listing
{
    bool ok{false};
    std::vector<vm_entry> vms{};
};

/** Outcome of an order for a VM. */
enum class vm_order_outcome {
    done,
    /** A newer owner has given an order for this VM. */
    fenced,
    /** The VM is not up, or is leaving. */
    busy,
    /** The VM does not belong to the wave, or the pool does not allow it. */
    refused,
    /** Rate limit exceeded; the order had no effect. */
    throttled,
    /** The effect is unknown until the next list shows it. */
    unknown
};

/** Lists the platform's VMs, moves them between pools and starts their maintenance. Handlers run on
    the event loop. */
class vm_service
{
public:
    using list_handler = std::function<void(vm_listing &&)>;
    using order_handler = std::function<void(vm_order_outcome)>;
    /** Returns whether an order may still be sent. */
    using send_permission = std::function<bool()>;

    vm_service() = default;
    vm_service(const vm_service &) = delete;
    vm_service &operator=(const vm_service &) = delete;
    virtual ~vm_service() = default;

    /** Sets the fencing token of all later orders. */
    virtual void setToken(std::int64_t token) = 0;

    virtual void list(list_handler done) = 0;

    /** Moves a VM to another pool. Ends all its runs; a new executor registers there later. Asks
        for the permission when the order has a connection; without it, nothing is sent, and the
        outcome is vm_order_outcome::throttled. */
    virtual void move(const std::string &vm, const std::string &pool, send_permission maySend,
                      order_handler done) = 0;

    /** Starts maintenance for a wave. Ends all runs of the VM; a new executor registers later. Asks
        for the permission as move() does. */
    virtual void maintain(const std::string &vm, std::int64_t wave, send_permission maySend,
                          order_handler done) = 0;
};

} // namespace azurelb
