#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/activity/queue_totals.hpp>
#include <azurelb/core/identifier.hpp>

#include <unordered_map>

namespace azurelb {

namespace wire {
class activity_report;
} // namespace wire

/** Counts the requests that this daemon handles, and the time they wait and run. */
class activity_recorder
{
public:
    /** Records the arrival of a request. */
    void recordArrival(const queue_name &queue);

    /**
     * Records that a request got a slot on the VM after waiting for it. Each call must be followed
     * by one recordEnd().
     */
    void recordStart(const queue_name &queue, const vm_id &vm, duration waited);

    /** Records that the slot was released after being held for `ran`. */
    void recordEnd(const queue_name &queue, const vm_id &vm, duration ran);

    /** Number of this daemon's requests running on the VM. */
    [[nodiscard]] std::uint32_t running(const vm_id &vm) const noexcept;

    /** Mean time that a slot was held for the queue; 0 if none has ended yet. */
    [[nodiscard]] duration meanRun(const queue_name &queue) const noexcept;

    /** Writes all counts and totals into an empty report. */
    void writeReport(wire::activity_report &report) const;

private:
    std::unordered_map<queue_name, queue_totals> m_queues{};
    std::unordered_map<vm_id, std::uint32_t> m_running{};
};

} // namespace azurelb
