#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/wire/activity.pb.h>

namespace azurelb {

namespace {

std::chrono::microseconds toMicroseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span);
}

std::uint64_t toMicrosecondCount(std::chrono::microseconds span)
{
    return static_cast<std::uint64_t>(span.count());
}

} // namespace

void activity_recorder::recordArrival(const queue_name &queue)
{
    ++m_queues[queue].arrivals;
}

void activity_recorder::recordStart(const queue_name &queue, const vm_id &vm, duration waited)
{
    queue_totals &totals = m_queues[queue];
    ++totals.granted;
    totals.waitTime += toMicroseconds(waited);
    ++m_running[vm];
}

void activity_recorder::recordEnd(const queue_name &queue, const vm_id &vm, duration ran)
{
    queue_totals &totals = m_queues[queue];
    ++totals.ended;
    totals.runTime += toMicroseconds(ran);
    const auto found = m_running.find(vm);
    if (found != m_running.end() && --found->second == 0)
        m_running.erase(found);
}

std::uint32_t activity_recorder::running(const vm_id &vm) const noexcept
{
    const auto found = m_running.find(vm);
    return found == m_running.end() ? 0 : found->second;
}

duration activity_recorder::meanRun(const queue_name &queue) const noexcept
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.ended == 0)
        return {};
    return found->second.runTime / static_cast<std::int64_t>(found->second.ended);
}

void activity_recorder::writeReport(wire::activity_report &report) const
{
    for (const auto &[vm, running] : m_running) {
        wire::vm_activity &added = *report.add_vms();
        added.set_vm(vm.value());
        added.set_running(running);
    }
    for (const auto &[queue, totals] : m_queues) {
        wire::queue_activity &added = *report.add_queues();
        added.set_queue(queue.value());
        added.set_arrivals(totals.arrivals);
        added.set_granted(totals.granted);
        added.set_waited_us(toMicrosecondCount(totals.waitTime));
        added.set_ended(totals.ended);
        added.set_ran_us(toMicrosecondCount(totals.runTime));
    }
}

} // namespace azurelb
