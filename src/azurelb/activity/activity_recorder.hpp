#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/activity/queue_totals.hpp>
#include <azurelb/core/identifier.hpp>

#include <unordered_map>

namespace azurelb {

namespace wire {
class activity_report;
} // namespace wire

/** Counts the work that passes through this daemon. */
class activity_recorder
{
public:
    /** A request came. */
    void recordArrival(const queue_name &queue);

    /** A request got a slot on the VM. Each start is followed by one end. */
    void recordStart(const queue_name &queue, const vm_id &vm, duration waited);

    /** The use of the slot ended. */
    void recordEnd(const queue_name &queue, const vm_id &vm, duration ran);

    /** Requests running on the VM from here. */
    [[nodiscard]] std::uint32_t running(const vm_id &vm) const noexcept;

    /** Mean time that a slot was held for the queue; 0 if none has ended yet. */
    [[nodiscard]] duration meanRun(const queue_name &queue) const noexcept;

    /** Writes the whole state into an empty report. */
    void writeReport(wire::activity_report &report) const;

private:
    std::unordered_map<queue_name, queue_totals> m_queues{};
    std::unordered_map<vm_id, std::uint32_t> m_running{};
};

} // namespace azurelb
