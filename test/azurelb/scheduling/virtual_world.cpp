#include "virtual_world.hpp"

#include <algorithm>
#include <utility>

namespace azurelb::test {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds stepTime{20};
constexpr milliseconds askInterval{300};
constexpr milliseconds offset{1'000'000};
constexpr resources executorRoom{16'000, 65'536, 0};

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

virtual_world::virtual_world(const scheduling_options &options)
    : m_options{options}
    , m_now{std::chrono::seconds{1000}}
    , m_plan{[](const task_id &) {
        return run_plan{};
    }}
{
    queue_entry queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.attempts = 2;
    queue.stretch = 1.6;
    queue.target = milliseconds{600};
    config.version = 1;
    config.queues.push_back(queue);
    config.pools.push_back({"pool", false, false});
    config.teams.push_back({"team", {}, 1.0, {}});
    makeOwner();
}

void virtual_world::makeOwner()
{
    m_owner = std::make_unique<owner_model>(m_options, ++m_token);
    m_owner->decisions.apply(config);
    for (const std::string &id : m_roster)
        m_owner->decisions.inheritExecutor(m_executors.at(id)->info(), m_now);
    for (const auto &[id, record] : m_records) {
        m_owner->decisions.addJob(record, m_stored[id], 1, true, m_acceptedAt.at(id));
        if (m_cancelled.contains(id))
            m_owner->decisions.cancelJob(id, m_now);
    }
    for (const auto &[id, executor] : m_executors)
        m_owner->decisions.registerExecutor(executor->info(), m_now);
}

void virtual_world::addExecutor(const std::string &id, const std::string &pool, double clockRate)
{
    executor_registration info;
    info.id = id;
    info.address = id;
    info.pool = pool;
    info.zone = "zone";
    info.capacity = executorRoom;
    info.born = 1;
    m_executors[id] = std::make_unique<fake_executor>(info, clockRate, m_now);
    m_owner->decisions.registerExecutor(info, m_now);
}

void virtual_world::submit(const job_record &job)
{
    m_records[job.id] = job;
    m_acceptedAt[job.id] = m_now;
    m_owner->decisions.addJob(job, {}, 0, false, m_now);
}

void virtual_world::cancel(const job_id &id)
{
    m_cancelled.insert(id);
    m_owner->decisions.cancelJob(id, m_now);
}

void virtual_world::takeOver()
{
    m_former = std::move(m_owner);
    m_former->confirmedAt = m_now - m_options.ownerTerm;
    m_former->mustStopAt = m_now - m_options.ownerTerm + m_options.ownerBound;
    makeOwner();
}

void virtual_world::cutFormer(const std::string &executor)
{
    if (m_former)
        m_former->unreachable.insert(executor);
}

void virtual_world::replaceOwner()
{
    m_former.reset();
    makeOwner();
}

void virtual_world::crash(const std::string &executor)
{
    fake_executor &crashed = *m_executors.at(executor);
    crashed.crash(m_now);
    m_owner->decisions.registerExecutor(crashed.info(), m_now);
}

void virtual_world::cut(const std::string &executor, bool cut)
{
    if (cut)
        m_owner->unreachable.insert(executor);
    else
        m_owner->unreachable.erase(executor);
}

void virtual_world::delayOrders(unsigned count, milliseconds delay)
{
    m_delayedOrders = count;
    m_delay = delay;
}

void virtual_world::advance(milliseconds time)
{
    for (const boot_time end = m_now + time; m_now < end;)
        step();
}

void virtual_world::step()
{
    m_now += stepTime;
    for (const auto &[id, executor] : m_executors)
        executor->advance(m_now);
    performDelayed();
    if (m_former)
        work(*m_former);
    if (m_former && (m_former->fenced || m_now >= m_former->mustStopAt))
        m_former.reset();
    work(*m_owner);
    checkAcknowledged();
}

void virtual_world::work(owner_model &owner)
{
    for (const auto &[id, executor] : m_executors) {
        if (m_now - owner.askedAt[id] >= askInterval)
            ask(owner, id);
    }
    owner.decisions.advance(m_now, offset, owner.confirmedAt);
    for (const executor_order &each : owner.decisions.takeOrders())
        carry(owner, each);
    if (!m_storeDown && &owner == m_owner.get())
        store(owner);
}

void virtual_world::ask(owner_model &owner, const std::string &id)
{
    executor_entry *const entry = owner.decisions.executors().find(id);
    owner.askedAt[id] = m_now;
    if (!entry) {
        owner.decisions.registerExecutor(m_executors.at(id)->info(), m_now);
        return;
    }
    if (owner.unreachable.contains(id)) {
        owner.decisions.noteSilence(id);
        return;
    }
    std::optional<milliseconds> leaseEnd;
    if (entry->contacted && !entry->silent) {
        leaseEnd = owner.decisions.executors().leaseEnd(*entry, m_now);
        owner.decisions.executors().noteLease(*entry, *leaseEnd);
    }
    const std::int64_t acknowledged = entry->silent ? 0 : entry->storedEnds;
    const auto report = m_executors.at(id)->hold(owner.token, acknowledged, leaseEnd, m_now);
    if (!report)
        owner.fenced = true;
    else
        owner.decisions.observe(id, *report, m_now, m_now);
}

void virtual_world::carry(owner_model &owner, const executor_order &order)
{
    if (const auto *const start = std::get_if<start_order>(&order))
        deliver(owner, *start);
    else if (const auto *const stop = std::get_if<stop_order>(&order))
        deliver(owner, *stop);
}

void virtual_world::deliver(owner_model &owner, const start_order &order)
{
    if (owner.unreachable.contains(order.executor)) {
        owner.decisions.noteStart(order, start_outcome::unknown, m_now);
        return;
    }
    if (m_delayedOrders > 0) {
        --m_delayedOrders;
        m_late.push_back({m_now + m_delay, owner.token, order, lifeOf(order.executor)});
        owner.decisions.noteStart(order, start_outcome::unknown, m_now);
        return;
    }
    const start_outcome outcome = perform(order, owner.token);
    owner.fenced = owner.fenced || outcome == start_outcome::fenced;
    const bool lost = m_lostAnswers > 0;
    m_lostAnswers -= lost ? 1 : 0;
    owner.decisions.noteStart(order, lost ? start_outcome::unknown : outcome, m_now);
}

void virtual_world::deliver(owner_model &owner, const stop_order &order)
{
    if (owner.unreachable.contains(order.executor)) {
        owner.decisions.noteStop(order, false, m_now);
        return;
    }
    if (m_delayedOrders > 0) {
        --m_delayedOrders;
        m_late.push_back({m_now + m_delay, owner.token, order, lifeOf(order.executor)});
        owner.decisions.noteStop(order, false, m_now);
        return;
    }
    const start_outcome outcome = m_executors.at(order.executor)->stop(order, owner.token, m_now);
    owner.decisions.noteStop(order, outcome == start_outcome::started, m_now);
}

start_outcome virtual_world::perform(const start_order &order, std::int64_t token)
{
    fake_executor &on = *m_executors.at(order.executor);
    const bool ranBefore = on.running().contains(order.task);
    const start_outcome outcome = on.start(order, token, m_plan(order.task), m_now);
    if (outcome == start_outcome::started && !ranBefore)
        checkStart(order);
    return outcome;
}

std::int64_t virtual_world::lifeOf(const std::string &executor) const
{
    return m_executors.at(executor)->info().born;
}

void virtual_world::performDelayed()
{
    const auto due = std::stable_partition(m_late.begin(), m_late.end(),
                                           [this](const auto &each) { return each.at > m_now; });
    const std::vector<delayed_order> now{due, m_late.end()};
    m_late.erase(due, m_late.end());
    for (const delayed_order &each : now) {
        const auto *const start = std::get_if<start_order>(&each.order);
        const auto *const stop = std::get_if<stop_order>(&each.order);
        if (lifeOf(start ? start->executor : stop->executor) != each.born)
            continue;
        if (start)
            (void)perform(*start, each.token);
        else
            (void)m_executors.at(stop->executor)->stop(*stop, each.token, m_now);
    }
}

void virtual_world::store(owner_model &owner)
{
    for (const job_id &id : owner.decisions.jobs().takeDirty()) {
        const job_entry *const job = owner.decisions.jobs().find(id);
        m_stored[id] = job_table::progressOf(*job);
        if (isFinal(job->state))
            m_endedAt.try_emplace(id, m_now);
    }
    for (auto &[id, entry] : owner.decisions.executors().all()) {
        entry.storedEnds = entry.processedEnds;
        entry.enrolled = true;
        m_roster.insert(id);
    }
    (void)owner.decisions.takeEnded();
}

void virtual_world::checkStart(const start_order &order)
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
        m_violations.push_back("no room for " + name);
    const resources &limit = config.teams.front().limit;
    if (limit.cpu != 0 && ofTeam.cpu > limit.cpu)
        m_violations.push_back("over the team's limit with " + name);
    const job_record &job = m_records.at(order.task.job);
    // Long-running tasks are restarted however they end.
    const bool longRunning = job.steps.at(order.task.step).longRunning;
    for (const boot_time done : m_doneEnds[order.task]) {
        if (!longRunning && m_now > done)
            m_violations.push_back("started after it was done: " + name);
    }
    if (!longRunning && m_notedFailures[order.task] >= config.queues.front().attempts)
        m_violations.push_back("too many attempts: " + name);
    for (const std::uint32_t earlier : job.steps.at(order.task.step).after) {
        for (std::uint32_t index = 0; index < job.steps.at(earlier).taskCount; ++index) {
            if (startsOf({order.task.job, order.task.occurrence, earlier, index}) == 0)
                m_violations.push_back("step out of order: " + name);
        }
    }
    m_starts[order.task].push_back(m_now);
}

void virtual_world::checkAcknowledged()
{
    for (const auto &[id, executor] : m_executors) {
        for (const ended_run &end : executor->takeAcknowledged()) {
            if (end.end == run_end::failed)
                ++m_notedFailures[end.task];
            if (end.end != run_end::done)
                continue;
            m_doneEnds[end.task].push_back(m_now);
        }
    }
}

job_state virtual_world::stateOf(const job_id &id) const
{
    const auto found = m_stored.find(id);
    return found == m_stored.end() ? job_state::pending : found->second.state;
}

std::size_t virtual_world::startsOf(const task_id &task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second.size();
}

std::optional<boot_time> virtual_world::endOf(const job_id &id) const
{
    const auto found = m_endedAt.find(id);
    return found == m_endedAt.end() ? std::nullopt : std::optional{found->second};
}

} // namespace azurelb::test
