#include <azurelb/activity/activity_collector.hpp>
#include <azurelb/wire/activity.pb.h>

#include <algorithm>

namespace azurelb {

namespace {

queue_totals readTotals(const wire::queue_activity &read)
{
    queue_totals totals;
    totals.arrivals = read.arrivals();
    totals.granted = read.granted();
    totals.waitTime = std::chrono::microseconds{read.waited_us()};
    totals.ended = read.ended();
    totals.runTime = std::chrono::microseconds{read.ran_us()};
    return totals;
}

void addDifference(queue_totals &sum, const queue_totals &now, const queue_totals &before)
{
    sum.arrivals += now.arrivals - before.arrivals;
    sum.granted += now.granted - before.granted;
    sum.waitTime += now.waitTime - before.waitTime;
    sum.ended += now.ended - before.ended;
    sum.runTime += now.runTime - before.runTime;
}

std::chrono::milliseconds mean(std::chrono::microseconds sum, std::uint64_t count)
{
    const auto divisor = static_cast<std::int64_t>(std::max<std::uint64_t>(count, 1));
    return std::chrono::duration_cast<std::chrono::milliseconds>(sum / divisor);
}

queue_demand toDemand(const queue_name &queue, const queue_totals &totals, duration interval)
{
    const double seconds = std::chrono::duration<double>(interval).count();
    return {queue, static_cast<double>(totals.arrivals) / seconds,
            mean(totals.runTime, totals.ended), mean(totals.waitTime, totals.granted)};
}

} // namespace

void activity_collector::update(const member &from, const wire::activity_report &report,
                                time_point askedAt)
{
    daemon_activity &daemon = m_daemons[from];
    const bool isFirst = daemon.askedAt == time_point{};
    if (askedAt < daemon.askedAt)
        return;
    daemon.askedAt = askedAt;
    daemon.running.clear();
    for (const wire::vm_activity &each : report.vms())
        daemon.running[vm_id{each.vm()}] = each.running();
    for (const wire::queue_activity &each : report.queues())
        daemon.queues[queue_name{each.queue()}] = readTotals(each);
    // The first report is the baseline, since it counts work from before this daemon planned.
    if (isFirst)
        daemon.countedTotals = daemon.queues;
}

void activity_collector::retain(std::span<const member> members)
{
    std::erase_if(m_daemons, [members](const auto &each) {
        return std::find(members.begin(), members.end(), each.first) == members.end();
    });
}

vm_observation activity_collector::observe(const vm_id &vm, std::span<const member> members,
                                           time_point now) const
{
    vm_observation seen{vm, 0, probe_result::unknown, now};
    for (const member &each : members) {
        const auto found = m_daemons.find(each);
        if (found == m_daemons.end() || now - found->second.askedAt > maxReportAge)
            return {vm, std::nullopt, probe_result::unknown, now};
        const auto counted = found->second.running.find(vm);
        seen.running =
            *seen.running + (counted == found->second.running.end() ? 0 : counted->second);
        seen.at = std::min(seen.at, found->second.askedAt);
    }
    return seen;
}

std::vector<queue_demand> activity_collector::takeDemand(time_point now)
{
    const duration interval = now - m_demandTakenAt;
    const bool isFirst = m_demandTakenAt == time_point{};
    m_demandTakenAt = now;
    totals_map sums;
    for (auto &[from, daemon] : m_daemons) {
        for (const auto &[queue, totals] : daemon.queues)
            addDifference(sums[queue], totals, daemon.countedTotals[queue]);
        daemon.countedTotals = daemon.queues;
    }
    std::vector<queue_demand> demand;
    for (const auto &[queue, totals] : sums) {
        if (!isFirst)
            demand.push_back(toDemand(queue, totals, interval));
    }
    return demand;
}

} // namespace azurelb
