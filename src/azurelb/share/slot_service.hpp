#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/share/fwd.hpp>
#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/**
 * Grants executor slots to waiting requests by the teams' shares and within their limits. The
 * team's right is held for the duration of the lease.
 */
class slot_service : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"slots"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /**
     * Waits for a slot. The handler runs exactly once, on the event loop and never inside this
     * call, unless cancel() comes first.
     */
    virtual ticket_id request(const slot_request &wanted, slot_handler done) = 0;

    /** Cancels a waiting request; does nothing if its handler has run. */
    virtual void cancel(ticket_id ticket) = 0;

    /** Ends the use of a granted slot. Call exactly once for each grant. */
    virtual void release(lease_id lease, attempt_outcome outcome) = 0;
};

} // namespace azurelb
