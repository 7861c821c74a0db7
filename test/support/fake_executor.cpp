#include "fake_executor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azurelb::test {

using std::chrono::milliseconds;

namespace {

/** By how much the clock of a new incarnation is behind that of the former one, at least. */
constexpr std::chrono::hours clockSetback{1};

} // namespace

fake_executor::fake_executor(const executor_registration &info, double clockRate, boot_time now)
    : m_info{info}
    , m_clockRate{clockRate}
    , m_clockStart{now}
{ }

milliseconds fake_executor::clock(boot_time now) const
{
    return m_clockBase
        + milliseconds{static_cast<milliseconds::rep>(
            static_cast<double>((now - m_clockStart).count()) * m_clockRate)};
}

start_outcome fake_executor::start(const start_order &order, std::int64_t token,
                                   const run_plan &plan, boot_time now)
{
    advance(now);
    if (token < m_token)
        return start_outcome::fenced;
    m_token = token;
    const auto found = m_running.find(order.task);
    if (found != m_running.end())
        return found->second.run == order.run ? start_outcome::started : start_outcome::outdated;
    const auto highest = m_highestEnded.find(order.task);
    if (highest != m_highestEnded.end() && order.run <= highest->second)
        return start_outcome::outdated;
    if (order.leaseEnd <= clock(now))
        return start_outcome::expired;
    extendLease(order.leaseEnd, now);
    m_leaseHeld = true;
    m_running[order.task] = {order.run, now, plan};
    return start_outcome::started;
}

start_outcome fake_executor::stop(const stop_order &order, std::int64_t token, boot_time now)
{
    advance(now);
    if (token < m_token)
        return start_outcome::fenced;
    m_token = token;
    run_number &highest = m_highestEnded[order.task];
    highest = std::max(highest, order.run);
    const auto found = m_running.find(order.task);
    if (found != m_running.end() && found->second.run <= order.run)
        end(order.task, run_end::stopped, now);
    return start_outcome::started;
}

std::optional<executor_report> fake_executor::hold(std::int64_t token, std::int64_t acknowledged,
                                                   std::optional<milliseconds> leaseEnd,
                                                   boot_time now)
{
    advance(now);
    if (token < m_token)
        return std::nullopt;
    m_token = token;
    if (leaseEnd)
        extendLease(*leaseEnd, now);
    m_leaseHeld = clock(now) < m_leaseEnd;
    const auto acknowledgedEnd =
        std::stable_partition(m_ended.begin(), m_ended.end(), [acknowledged](const auto &each) {
            return each.sequence <= acknowledged;
        });
    std::copy_if(
        m_ended.begin(), acknowledgedEnd, std::back_inserter(m_acknowledged),
        [this](const ended_run &each) { return m_endTimes[each.sequence] > m_leaseExpiredAt; });
    m_ended.erase(m_ended.begin(), acknowledgedEnd);
    executor_report report;
    report.clock = clock(now);
    report.startedUnixMs = m_info.startedUnixMs;
    report.ended.assign(m_ended.begin(),
                        m_ended.begin()
                            + static_cast<std::ptrdiff_t>(std::min(m_ended.size(), listedEnds)));
    report.endsComplete = report.ended.size() < listedEnds;
    for (const auto &[task, run] : m_running) {
        const auto share =
            (now - run.startedAt) * 99 / std::max(run.plan.duration, milliseconds{1});
        report.running.push_back({task, run.run, {}, static_cast<int>(share), 0});
    }
    return report;
}

void fake_executor::extendLease(milliseconds leaseEnd, boot_time now)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(leaseEnd, clock(now) + maxLease));
}

void fake_executor::end(const task_id &task, run_end how, boot_time now)
{
    const active_run run = m_running.at(task);
    m_running.erase(task);
    run_number &highest = m_highestEnded[task];
    highest = std::max(highest, run.run);
    m_ended.push_back({++m_sequence, task, run.run, how, {}});
    m_endTimes[m_sequence] = now;
}

void fake_executor::advance(boot_time now)
{
    const bool leaseExpired = clock(now) >= m_leaseEnd;
    if (leaseExpired && std::exchange(m_leaseHeld, false))
        m_leaseExpiredAt = now;
    std::vector<std::pair<task_id, run_end>> over;
    for (const auto &[task, run] : m_running) {
        if (now - run.startedAt >= run.plan.duration)
            over.emplace_back(task, run.plan.end);
        else if (leaseExpired)
            over.emplace_back(task, run_end::lease_expired);
    }
    for (const auto &[task, how] : over)
        end(task, how, now);
}

void fake_executor::crash(boot_time now)
{
    m_running.clear();
    m_highestEnded.clear();
    m_ended.clear();
    m_endTimes.clear();
    m_leaseExpiredAt = {};
    m_leaseHeld = false;
    m_sequence = 0;
    m_token = 0;
    m_leaseEnd = milliseconds{0};
    m_clockStart = now;
    m_clockBase = std::max(m_clockBase - clockSetback, milliseconds{0});
    ++m_info.startedUnixMs;
}

std::vector<ended_run> fake_executor::takeAcknowledged()
{
    return std::exchange(m_acknowledged, {});
}

} // namespace azurelb::test
