#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/request/attempt_services.hpp>
#include <azurelb/share/slot_grant.hpp>

namespace azurelb {

/** Holds a granted slot until destruction and records its use for the planner. */
class slot_use
{
public:
    slot_use(const attempt_services &services, queue_name queue, const slot_grant &grant,
             duration waitTime);
    slot_use(const slot_use &) = delete;
    slot_use &operator=(const slot_use &) = delete;
    ~slot_use();

    /** Sets the outcome reported for the upstream on release; cancelled if never called. */
    void setOutcome(attempt_outcome outcome) noexcept { m_outcome = outcome; }

    [[nodiscard]] const upstream_vm &upstream() const noexcept { return m_grant.upstream; }

private:
    const attempt_services &m_services;
    queue_name m_queue;
    slot_grant m_grant;
    time_point m_started;
    attempt_outcome m_outcome;
};

} // namespace azurelb
