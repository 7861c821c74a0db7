#include "scheduler_simulation.hpp"

#include <algorithm>
#include <utility>

namespace azurelb::test {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick{20};
constexpr milliseconds pollInterval{300};
constexpr milliseconds unixOffset{1'000'000};
constexpr resources executorCapacity{16'000, 65'536, 0};

} // namespace

job_record makeJob(const std::string &id, std::uint32_t tasks, std::int64_t cpu)
{
    job_record job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.team = "team";
    job_step step;
    step.taskCount = tasks;
    step.request = {cpu, 512, 0};
    step.estimate = milliseconds{800};
    job.steps.push_back(step);
    return job;
}

scheduler_simulation::scheduler_simulation(const scheduling_options &options)
    : m_options{options}
    , m_now{std::chrono::seconds{1000}}
    , m_plan{[](const task_id &) {
        return run_plan{};
    }}
{
    queue_entry queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.maxAttempts = 2;
    queue.stretch = 1.6;
    queue.target = milliseconds{600};
    config.version = 1;
    config.queues.push_back(queue);
    config.pools.push_back({"pool", false, false});
    config.teams.push_back({"team", {}, 1.0, {}});
    makeOwner();
}

void scheduler_simulation::makeOwner()
{
    m_owner = std::make_unique<owner_model>(m_options, ++m_token);
    m_owner->scheduling.apply(config);
    for (const auto &[id, record] : m_recordedExecutors)
        m_owner->scheduling.inheritExecutor(
            record, m_now,
            record.startedUnixMs == incarnationOf(id) ? ageOf(id) : scheduler::unknownAge);
    for (const auto &[id, record] : m_records) {
        m_owner->scheduling.addJob(record, m_stored[id], 1, true, m_acceptedAt.at(id));
        if (m_cancelled.contains(id))
            m_owner->scheduling.cancelJob(id, m_now);
    }
    for (const auto &[id, executor] : m_executors)
        m_owner->scheduling.registerExecutor(executor->info(), m_now, ageOf(id));
}

void scheduler_simulation::addExecutor(const std::string &id, const std::string &pool,
                                       double clockRate)
{
    executor_registration info;
    info.id = id;
    info.address = id;
    info.pool = pool;
    info.zone = "zone";
    info.capacity = executorCapacity;
    info.startedUnixMs = 1;
    m_executors[id] = std::make_unique<fake_executor>(info, clockRate, m_now);
    m_executors[id]->listedEnds = m_options.maxListedEnds;
    m_owner->scheduling.registerExecutor(info, m_now);
}

void scheduler_simulation::submit(const job_record &job)
{
    job_record &accepted = m_records[job.id] = job;
    accepted.configVersion = config.version;
    m_acceptedAt[job.id] = m_now;
    m_owner->scheduling.addJob(accepted, {}, 0, false, m_now);
}

void scheduler_simulation::cancel(const job_id &id)
{
    m_cancelled.insert(id);
    m_owner->scheduling.cancelJob(id, m_now);
}

void scheduler_simulation::takeOver()
{
    m_formerOwner = std::move(m_owner);
    m_formerOwner->confirmedAt = m_now - m_options.ownerLeaseTerm;
    m_formerOwner->mustStopAt = m_now - m_options.ownerLeaseTerm + m_options.maxTimeSinceRenewal;
    makeOwner();
}

void scheduler_simulation::replaceOwnerWithOldConfiguration(milliseconds readsAfter)
{
    catalogue newest = std::exchange(config, {});
    config.version = newest.version - 1;
    replaceOwner();
    config = std::move(newest);
    m_readsConfigurationAt = m_now + readsAfter;
}

void scheduler_simulation::disconnectFormerOwner(const std::string &executor)
{
    if (m_formerOwner)
        m_formerOwner->unreachable.insert(executor);
}

void scheduler_simulation::replaceOwner()
{
    m_formerOwner.reset();
    makeOwner();
}

void scheduler_simulation::crash(const std::string &executor)
{
    fake_executor &crashed = *m_executors.at(executor);
    crashed.crash(m_now);
    m_restartedAt[executor] = m_now;
    m_owner->scheduling.registerExecutor(crashed.info(), m_now);
}

void scheduler_simulation::restartUnnoticed(const std::string &executor,
                                            milliseconds registersAfter)
{
    m_executors.at(executor)->crash(m_now);
    m_restartedAt[executor] = m_now;
    m_lateRegistrations.push_back({m_now + registersAfter, executor});
}

milliseconds scheduler_simulation::ageOf(const std::string &executor) const
{
    const auto found = m_restartedAt.find(executor);
    return found == m_restartedAt.end() ? scheduler::unknownAge : m_now - found->second;
}

void scheduler_simulation::registerRestarted()
{
    std::erase_if(m_lateRegistrations, [this](const late_registration &each) {
        if (each.at > m_now)
            return false;
        m_owner->scheduling.registerExecutor(m_executors.at(each.executor)->info(), m_now);
        return true;
    });
}

void scheduler_simulation::setDisconnected(const std::string &executor, bool disconnected)
{
    if (disconnected)
        m_owner->unreachable.insert(executor);
    else
        m_owner->unreachable.erase(executor);
}

void scheduler_simulation::delayOrders(unsigned count, milliseconds delay)
{
    m_delayedOrders = count;
    m_delay = delay;
}

void scheduler_simulation::advance(milliseconds time)
{
    for (const boot_time end = m_now + time; m_now < end;)
        step();
}

void scheduler_simulation::step()
{
    m_now += tick;
    for (const auto &[id, executor] : m_executors)
        executor->advance(m_now);
    recordEnds();
    executeDelayedOrders();
    registerRestarted();
    if (m_readsConfigurationAt && m_now >= *m_readsConfigurationAt) {
        m_readsConfigurationAt.reset();
        m_owner->scheduling.apply(config);
    }
    if (m_formerOwner)
        runOwner(*m_formerOwner);
    if (m_formerOwner && (m_formerOwner->fenced || m_now >= m_formerOwner->mustStopAt))
        m_formerOwner.reset();
    runOwner(*m_owner);
    recordAcknowledgedEnds();
}

void scheduler_simulation::runOwner(owner_model &owner)
{
    for (const auto &[id, executor] : m_executors) {
        if (m_now - owner.askedAt[id] >= pollInterval)
            pollExecutor(owner, id);
    }
    owner.scheduling.advance(m_now, unixOffset, owner.confirmedAt);
    for (const executor_order &each : owner.scheduling.takeOrders())
        sendOrder(owner, each);
    if (!m_storeDown && &owner == m_owner.get())
        store(owner);
}

void scheduler_simulation::pollExecutor(owner_model &owner, const std::string &id)
{
    executor_entry *const entry = owner.scheduling.executors().find(id);
    owner.askedAt[id] = m_now;
    if (!entry) {
        owner.scheduling.registerExecutor(m_executors.at(id)->info(), m_now);
        return;
    }
    if (owner.unreachable.contains(id)) {
        owner.scheduling.markUnresponsive(id);
        return;
    }
    const bool reachesKnown = !m_peersIdentified || entry->info.startedUnixMs == incarnationOf(id);
    std::optional<milliseconds> leaseEnd;
    if (entry->contacted && !entry->unresponsive && reachesKnown) {
        leaseEnd = owner.scheduling.executors().leaseEnd(*entry, m_now);
        owner.scheduling.executors().recordLease(*entry, *leaseEnd);
    }
    const bool acknowledges =
        !entry->unresponsive && reachesKnown && entry->lastStoredEnd > entry->lastAcknowledgedEnd;
    const std::int64_t acknowledged = acknowledges ? entry->lastStoredEnd : 0;
    const std::int64_t startedUnixMs = entry->info.startedUnixMs;
    const auto report = m_executors.at(id)->hold(owner.token, acknowledged, leaseEnd, m_now);
    if (!report)
        owner.fenced = true;
    else
        owner.scheduling.applyReport(id, *report, m_now, m_now);
    if (report && report->startedUnixMs == startedUnixMs)
        entry->lastAcknowledgedEnd = std::max(entry->lastAcknowledgedEnd, acknowledged);
}

void scheduler_simulation::sendOrder(owner_model &owner, const executor_order &order)
{
    if (const auto *const start = std::get_if<start_order>(&order))
        deliver(owner, *start);
    else if (const auto *const stop = std::get_if<stop_order>(&order))
        deliver(owner, *stop);
}

void scheduler_simulation::deliver(owner_model &owner, const start_order &order)
{
    if (owner.unreachable.contains(order.executor)) {
        owner.scheduling.applyStartOutcome(order, start_outcome::unknown, m_now);
        return;
    }
    if (m_peersIdentified && order.startedUnixMs != incarnationOf(order.executor)) {
        owner.scheduling.applyStartOutcome(order, start_outcome::restarted, m_now);
        return;
    }
    if (m_delayedOrders > 0) {
        --m_delayedOrders;
        m_delayedDeliveries.push_back(
            {m_now + m_delay, owner.token, order, incarnationOf(order.executor)});
        owner.scheduling.applyStartOutcome(order, start_outcome::unknown, m_now);
        return;
    }
    const start_outcome outcome = executeStart(order, owner.token);
    owner.fenced = owner.fenced || outcome == start_outcome::fenced;
    const bool lost = m_lostAnswers > 0;
    m_lostAnswers -= lost ? 1 : 0;
    owner.scheduling.applyStartOutcome(order, lost ? start_outcome::unknown : outcome, m_now);
}

void scheduler_simulation::deliver(owner_model &owner, const stop_order &order)
{
    if (owner.unreachable.contains(order.executor)) {
        owner.scheduling.applyStopOutcome(order, false, m_now);
        return;
    }
    if (m_delayedOrders > 0) {
        --m_delayedOrders;
        m_delayedDeliveries.push_back(
            {m_now + m_delay, owner.token, order, incarnationOf(order.executor)});
        owner.scheduling.applyStopOutcome(order, false, m_now);
        return;
    }
    const start_outcome outcome = m_executors.at(order.executor)->stop(order, owner.token, m_now);
    owner.scheduling.applyStopOutcome(order, outcome == start_outcome::started, m_now);
}

start_outcome scheduler_simulation::executeStart(const start_order &order, std::int64_t token)
{
    fake_executor &on = *m_executors.at(order.executor);
    const bool ranBefore = on.running().contains(order.task);
    const start_outcome outcome = on.start(order, token, m_plan(order.task), m_now);
    if (outcome == start_outcome::started && !ranBefore)
        checkStart(order);
    return outcome;
}

std::int64_t scheduler_simulation::incarnationOf(const std::string &executor) const
{
    return m_executors.at(executor)->info().startedUnixMs;
}

void scheduler_simulation::executeDelayedOrders()
{
    const auto due = std::stable_partition(m_delayedDeliveries.begin(), m_delayedDeliveries.end(),
                                           [this](const auto &each) { return each.at > m_now; });
    const std::vector<delayed_order> now{due, m_delayedDeliveries.end()};
    m_delayedDeliveries.erase(due, m_delayedDeliveries.end());
    for (const delayed_order &each : now) {
        const auto *const start = std::get_if<start_order>(&each.order);
        const auto *const stop = std::get_if<stop_order>(&each.order);
        if (incarnationOf(start ? start->executor : stop->executor) != each.startedUnixMs)
            continue;
        if (start)
            (void)executeStart(*start, each.token);
        else
            (void)m_executors.at(stop->executor)->stop(*stop, each.token, m_now);
    }
}

void scheduler_simulation::store(owner_model &owner)
{
    for (const job_id &id : owner.scheduling.jobs().takeDirtyJobs()) {
        const job_entry *const job = owner.scheduling.jobs().find(id);
        m_stored[id] = job_table::progressOf(*job);
        if (isFinal(job->state))
            m_endedAt.try_emplace(id, m_now);
    }
    for (auto &[id, entry] : owner.scheduling.executors().all()) {
        entry.lastStoredEnd = entry.lastProcessedEnd;
        const bool isNeeded = entry.registered || entry.info.hasRestarted;
        if (isNeeded && !std::exchange(entry.ownershipRecorded, true))
            m_recordedExecutors[id] = entry.info;
    }
    (void)owner.scheduling.takeEndedIncarnations();
}

void scheduler_simulation::checkStart(const start_order &order)
{
    const std::string name = toString(order.task);
    for (const auto &[id, executor] : m_executors) {
        if (id != order.executor && executor->running().contains(order.task))
            m_violations.push_back("two runs of " + name);
    }
    resources used;
    resources ofTeam;
    for (const auto &[id, executor] : m_executors) {
        for (const auto &[task, run] : executor->running()) {
            const job_record &job = m_records.at(task.job);
            ofTeam += job.steps.at(task.step).request;
            if (id == order.executor)
                used += reservation(job.steps.at(task.step));
        }
    }
    if (!fits(used, m_executors.at(order.executor)->info().capacity))
        m_violations.push_back("executor capacity exceeded by " + name);
    const resources &limit = config.teams.front().limit;
    if (limit.cpu != 0 && ofTeam.cpu > limit.cpu)
        m_violations.push_back("team limit exceeded by " + name);
    const job_record &job = m_records.at(order.task.job);
    // Long-running tasks are restarted whenever they end.
    const bool longRunning = job.steps.at(order.task.step).longRunning;
    for (const boot_time done : m_doneEnds[order.task]) {
        if (!longRunning && m_now > done)
            m_violations.push_back("started after completion: " + name);
    }
    if (!longRunning && m_recordedFailures[order.task] >= config.queues.front().maxAttempts)
        m_violations.push_back("too many attempts: " + name);
    for (const std::uint32_t earlier : job.steps.at(order.task.step).after) {
        for (std::uint32_t index = 0; index < job.steps.at(earlier).taskCount; ++index) {
            if (startsOf({order.task.job, order.task.occurrence, earlier, index}) == 0)
                m_violations.push_back("step out of order: " + name);
        }
    }
    m_starts[order.task].push_back(m_now);
}

void scheduler_simulation::recordEnds()
{
    for (const auto &[id, executor] : m_executors) {
        for (const ended_run &end : executor->ended())
            m_runEndedAt.try_emplace(end.run, m_now);
    }
}

void scheduler_simulation::recordAcknowledgedEnds()
{
    for (const auto &[id, executor] : m_executors) {
        for (const ended_run &end : executor->takeAcknowledged()) {
            if (end.end == run_end::failed)
                ++m_recordedFailures[end.task];
            if (end.end != run_end::done)
                continue;
            m_doneEnds[end.task].push_back(m_now);
            const boot_time endedAt = m_runEndedAt.at(end.run);
            const std::vector<boot_time> &starts = m_starts[end.task];
            const bool again = std::any_of(starts.begin(), starts.end(),
                                           [endedAt](boot_time each) { return each > endedAt; });
            if (again && !m_records.at(end.task.job).steps.at(end.task.step).longRunning)
                m_violations.push_back("acknowledged after a later start: " + toString(end.task));
        }
    }
}

job_state scheduler_simulation::stateOf(const job_id &id) const
{
    const auto found = m_stored.find(id);
    return found == m_stored.end() ? job_state::pending : found->second.state;
}

std::size_t scheduler_simulation::startsOf(const task_id &task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second.size();
}

std::optional<boot_time> scheduler_simulation::endOf(const job_id &id) const
{
    const auto found = m_endedAt.find(id);
    return found == m_endedAt.end() ? std::nullopt : std::optional{found->second};
}

} // namespace azurelb::test
