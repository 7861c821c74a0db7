#include <azurelb/scheduling/executor_table.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

constexpr std::string_view rackPrefix{"r"};
/** Time after which a call no longer reaches an executor: the timeout of an order, and the
    difference between two Unix clocks. */
constexpr milliseconds maxCallDelay{1000};
/** Age from which a recorded restart doesn't matter, even if Unix clocks have jumped. */
constexpr milliseconds restartMemory{60'000};

/** The labels name the executor's kind and its rack; rack names begin with r and a digit. */
std::string rackOf(const std::vector<std::string> &labels)
{
    const auto isRack = [](const std::string &label) {
        return label.starts_with(rackPrefix) && label.size() > 1 && label[1] >= '0'
            && label[1] <= '9';
    };
    const auto found = std::find_if(labels.begin(), labels.end(), isRack);
    return found == labels.end() ? std::string{} : *found;
}

} // namespace

bool mayHaveUnknownRuns(const executor_entry &executor, boot_time now) noexcept
{
    return executor.inherited && !executor.fullyReported && now < executor.latestLeaseEnd;
}

executor_table::executor_table(const scheduling_options &options)
    : m_options{options}
{ }

executor_entry &executor_table::insert(const executor_registration &info, boot_time now,
                                       milliseconds age)
{
    const auto [place, isNew] = m_executors.try_emplace(info.id);
    executor_entry &executor = place->second;
    if (isNew) {
        executor.idleSince = now;
        // An earlier owner grants its last lease, of one term, before it must stop giving orders.
        executor.latestLeaseEnd = now + m_options.maxTimeSinceRenewal - m_options.ownerLeaseTerm
            + std::chrono::duration_cast<milliseconds>(m_options.leaseTerm * slowClockFactor)
            + m_options.leaseMargin;
        if (info.hasRestarted && (age < restartMemory || age == unknownAge))
            recordFormerLease(executor, now);
        else if (age != unknownAge && formerLeaseEnd(now - age) > now)
            recordFormerLease(executor, std::min(now, now - age));
    }
    if (!isNew && executor.info.pool != info.pool)
        removeFromPool(executor);
    if (isNew || executor.info.pool != info.pool)
        m_pools[info.pool].push_back(&executor);
    const executor_registration known = std::exchange(executor.info, info);
    if (!isNew && (known.pool != info.pool || known.zone != info.zone || known.vm != info.vm))
        executor.ownershipRecorded = false;
    if (info.startedUnixMs == 0)
        executor.info.startedUnixMs = known.startedUnixMs;
    executor.info.hasRestarted = known.hasRestarted || info.hasRestarted;
    executor.rack = rackOf(info.labels);
    executor.registered = true;
    return executor;
}

executor_entry *executor_table::find(const executor_id &id) noexcept
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() ? nullptr : &found->second;
}

const executor_entry *executor_table::find(const executor_id &id) const noexcept
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() ? nullptr : &found->second;
}

assignment *executor_table::find(const executor_id &id, const task_id &task) noexcept
{
    executor_entry *const executor = find(id);
    if (!executor)
        return nullptr;
    const auto found = executor->assignments.find(task);
    return found == executor->assignments.end() ? nullptr : &found->second;
}

void executor_table::erase(const executor_id &id)
{
    if (executor_entry *const executor = find(id)) {
        for (const auto &[task, held] : executor->assignments)
            m_teams.remove(held.team, held.teamUsage);
        removeFromPool(*executor);
    }
    m_executors.erase(id);
}

void executor_table::restart(executor_entry &executor, std::int64_t startedUnixMs,
                             boot_time now) const
{
    executor.formerStartedUnixMs = std::exchange(executor.info.startedUnixMs, startedUnixMs);
    executor.registered = false;
    executor.ownershipRecorded = false;
    // Once this owner has contacted an executor, it accepts no orders of earlier ones.
    executor.inherited = executor.inherited && !executor.contacted;
    executor.contacted = false;
    executor.fullyReported = false;
    executor.unresponsive = false;
    executor.clock = milliseconds{0};
    executor.clockReadAt = {};
    executor.info.hasRestarted = true;
    recordFormerLease(executor, now);
    executor.lastProcessedEnd = 0;
    executor.lastStoredEnd = 0;
    executor.lastAcknowledgedEnd = 0;
    executor.unreadJobs.clear();
    executor.undecidedReport = {};
    executor.consecutiveFailures = 0;
    executor.lastFailedJob.clear();
    executor.suspendedUntil = {};
}

void executor_table::removeFromPool(const executor_entry &executor)
{
    std::erase(m_pools[executor.info.pool], &executor);
}

const std::vector<executor_entry *> &executor_table::ofPool(const std::string &pool) const
{
    static const std::vector<executor_entry *> none{};
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

assignment &executor_table::assign(executor_entry &executor, const task_id &task, assignment added)
{
    executor.used += added.reserved;
    executor.longRuns += added.longRunning ? 1 : 0;
    m_teams.add(added.team, added.teamUsage);
    if (added.spread)
        ++executor.spreadRuns[stepOf(task)];
    return executor.assignments.insert_or_assign(task, std::move(added)).first->second;
}

void executor_table::release(executor_entry &executor, const task_id &task, boot_time now)
{
    const auto found = executor.assignments.find(task);
    if (found == executor.assignments.end())
        return;
    executor.used -= found->second.reserved;
    executor.longRuns -= found->second.longRunning ? 1 : 0;
    m_teams.remove(found->second.team, found->second.teamUsage);
    if (found->second.spread) {
        const auto count = executor.spreadRuns.find(stepOf(task));
        if (--count->second == 0)
            executor.spreadRuns.erase(count);
    }
    executor.assignments.erase(found);
    if (executor.assignments.empty())
        executor.idleSince = now;
}

milliseconds executor_table::leaseEnd(const executor_entry &executor, boot_time now) const noexcept
{
    return executor.clock + (now - executor.clockReadAt) + m_options.leaseTerm;
}

void executor_table::recordLease(executor_entry &executor, milliseconds leaseEnd) const noexcept
{
    const auto term =
        std::chrono::duration_cast<milliseconds>((leaseEnd - executor.clock) * slowClockFactor);
    executor.latestLeaseEnd =
        std::max(executor.latestLeaseEnd, executor.clockReadAt + term + m_options.leaseMargin);
}

boot_time executor_table::formerLeaseEnd(boot_time sentBy) const noexcept
{
    return sentBy + maxCallDelay
        + std::chrono::duration_cast<milliseconds>(m_options.maxLeaseTerm * slowClockFactor)
        + m_options.leaseMargin;
}

/** Calls for the former incarnation may reach the executor until shortly after it has restarted, or
    its restart is known. */
void executor_table::recordFormerLease(executor_entry &executor, boot_time since) const noexcept
{
    executor.formerLeaseEnd = std::max(executor.formerLeaseEnd, formerLeaseEnd(since));
    executor.latestLeaseEnd = std::max(executor.latestLeaseEnd, executor.formerLeaseEnd);
}

void executor_table::capEarlierLeases(executor_entry &executor, boot_time now) const noexcept
{
    const auto term =
        std::chrono::duration_cast<milliseconds>(m_options.leaseTerm * slowClockFactor);
    const boot_time usualEnd = now + term + m_options.leaseMargin;
    executor.latestLeaseEnd =
        std::min(executor.latestLeaseEnd, std::max(usualEnd, executor.formerLeaseEnd));
}

std::set<std::string> executor_table::pools() const
{
    std::set<std::string> names;
    for (const auto &[name, executors] : m_pools)
        names.insert(name);
    return names;
}

void executor_table::recordOrderlyHandover(boot_time now) noexcept
{
    for (auto &[id, executor] : m_executors) {
        if (executor.inherited)
            capEarlierLeases(executor, now);
    }
}

std::vector<executor_id> executor_table::executorsWithExpiredLease(boot_time now) const
{
    std::vector<executor_id> found;
    for (const auto &[id, executor] : m_executors) {
        const bool holds = !executor.assignments.empty();
        if (executor.unresponsive && now >= executor.latestLeaseEnd
            && (holds || !executor.registered))
            found.push_back(id);
    }
    return found;
}

} // namespace azurelb
