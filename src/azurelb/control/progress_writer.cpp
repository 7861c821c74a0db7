#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/control/progress_writer.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Changes that arrive within this time are stored in one write. */
constexpr milliseconds groupingTime{12};
/** Delay after a write that failed or was refused. */
constexpr milliseconds retryDelay{100};

} // namespace

progress_writer::progress_writer(boost::asio::io_context &loop, keyspace &to, scheduler &from,
                                 store_revision token, stored_handler onStored, lost_handler onLost)
    : m_loop{loop}
    , m_keyspace{to}
    , m_scheduler{from}
    , m_token{token}
    , m_onStored{std::move(onStored)}
    , m_onLost{std::move(onLost)}
    , m_timer{loop}
{ }

void progress_writer::scheduleFlush()
{
    if (m_flushing || std::exchange(m_flushScheduled, true))
        return;
    callAfter(m_timer, groupingTime, m_alive, [this] { flush(); });
}

void progress_writer::removeJob(const stored_job &job)
{
    m_endedJobs.push_back(job);
    scheduleFlush();
}

void progress_writer::removeExecutor(const executor_id &id)
{
    m_endedExecutors.insert(id);
    scheduleFlush();
}

void progress_writer::flush()
{
    m_flushScheduled = false;
    m_flushing = true;
    collect();
    writeNext();
}

void progress_writer::collect()
{
    m_units.clear();
    m_processedEnds.clear();
    for (const auto &[id, executor] : m_scheduler.executors().all()) {
        if (executor.lastProcessedEnd > executor.lastStoredEnd)
            m_processedEnds.push_back({id, executor.info.startedUnixMs, executor.lastProcessedEnd});
    }
    collectJobs();
    collectExecutors();
    collectEndedExecutors();
    collectEndedJobs();
}

void progress_writer::collectJobs()
{
    for (const job_id &id : m_scheduler.jobs().takeDirtyJobs()) {
        const job_entry *const job = std::as_const(m_scheduler).jobs().find(id);
        if (!job)
            continue;
        const std::string key = store_keys::jobProgress(id);
        keyspace_write write;
        write.replace({key, encode(job_table::progressOf(*job)), 0}, job->storedRevision);
        m_units.push_back({std::move(write), id, {}});
    }
}

void progress_writer::collectExecutors()
{
    for (const auto &[id, executor] : m_scheduler.executors().all()) {
        // The next owner must learn of a restart even if the executor doesn't register any more.
        const bool isNeeded = executor.registered || executor.info.hasRestarted;
        if (!isNeeded || executor.ownershipRecorded)
            continue;
        const std::string key = store_keys::executor(id);
        keyspace_write write;
        write.replace({key, encodeRegistration(executor.info), 0}, m_records.of(key));
        m_units.push_back({std::move(write), {}, id});
    }
}

void progress_writer::collectEndedExecutors()
{
    for (const executor_id &id : std::exchange(m_endedExecutors, {})) {
        // It may have registered again since.
        if (m_scheduler.executors().find(id))
            continue;
        const std::string key = store_keys::executor(id);
        m_units.push_back({keyspace_write{}.remove(key, m_records.of(key)), {}, id});
    }
}

void progress_writer::collectEndedJobs()
{
    for (const stored_job &each : std::exchange(m_endedJobs, {})) {
        keyspace_write write;
        write.remove(store_keys::jobRecord(each.id), each.record)
            .remove(store_keys::jobCancel(each.id), each.cancel)
            .remove(store_keys::jobProgress(each.id), each.progress);
        m_units.push_back({std::move(write), each.id, {}});
    }
}

void progress_writer::writeNext()
{
    if (m_units.empty()) {
        finishFlush();
        return;
    }
    keyspace_write write;
    std::vector<write_unit> chunk;
    write.require(std::string{store_keys::owner}, m_token);
    while (!m_units.empty()
           && write.size() + m_units.back().write.size() <= keyspace::maxWriteEntries) {
        write.append(m_units.back().write);
        chunk.push_back(std::move(m_units.back()));
        m_units.pop_back();
    }
    m_keyspace.commit(write,
                      [this, chunk = std::move(chunk),
                       alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) mutable {
                          if (!alive.expired())
                              handleCommit(std::move(chunk), std::move(outcome));
                      });
}

void progress_writer::handleCommit(std::vector<write_unit> &&chunk, keyspace_commit &&outcome)
{
    if (outcome.error == keyspace_error::none) {
        noteStored(chunk, outcome);
        writeNext();
        return;
    }
    if (outcome.error == keyspace_error::conflict) {
        const auto owner =
            std::find_if(outcome.current.begin(), outcome.current.end(),
                         [](const keyspace_item &each) { return each.key == store_keys::owner; });
        if (owner == outcome.current.end() || owner->revision != m_token) {
            m_onLost();
            return;
        }
    }
    logEvent(event::progress_not_stored,
             {{"error", toString(outcome.error)}, {"entries", chunk.size()}});
    requeue(chunk, outcome);
    requeue(m_units, {keyspace_error::unknown, 0, {}});
    retryLater();
}

void progress_writer::noteStored(const std::vector<write_unit> &chunk,
                                 const keyspace_commit &outcome)
{
    for (const write_unit &each : chunk) {
        job_entry *const job = m_scheduler.jobs().find(each.job);
        // The identifier may have been used again during a removal.
        if (job && !each.isRemoval())
            job->storedRevision = outcome.revision;
        if (each.executor.empty())
            continue;
        m_records.apply(each.write, outcome);
        executor_entry *const executor = m_scheduler.executors().find(each.executor);
        // The executor may have changed during the write, or registered again during a removal.
        if (executor)
            executor->ownershipRecorded = !each.isRemoval()
                && each.write.operations().puts.front().value == encodeRegistration(executor->info);
    }
}

/** Marks the state of unwritten units as changed; the next flush collects its current values.
    @param outcome  of the write that contained them */
void progress_writer::requeue(const std::vector<write_unit> &chunk, const keyspace_commit &outcome)
{
    for (const write_unit &each : chunk) {
        job_entry *const job = m_scheduler.jobs().find(each.job);
        if (job && !each.isRemoval()) {
            const std::string key = store_keys::jobProgress(each.job);
            const auto found =
                std::find_if(outcome.current.begin(), outcome.current.end(),
                             [&key](const keyspace_item &item) { return item.key == key; });
            if (found != outcome.current.end())
                job->storedRevision = found->revision;
            m_scheduler.jobs().markDirty(*job);
        }
        if (!each.executor.empty()) {
            m_records.apply(each.write, outcome);
            if (each.isRemoval())
                m_endedExecutors.insert(each.executor);
        } else if (each.isRemoval()) {
            requeueRemoval(each, outcome);
        }
    }
}

void progress_writer::requeueRemoval(const write_unit &unit, const keyspace_commit &outcome)
{
    key_revisions current;
    for (const keyspace_condition &each : unit.write.operations().conditions)
        current.record({each.key, {}, each.revision, false});
    current.apply(unit.write, outcome);
    const std::string record = store_keys::jobRecord(unit.job);
    // An earlier removal without an answer has succeeded.
    if (current.of(record) != unit.write.operations().conditions.front().revision)
        return;
    m_endedJobs.push_back({unit.job, current.of(record),
                           current.of(store_keys::jobCancel(unit.job)),
                           current.of(store_keys::jobProgress(unit.job))});
}

void progress_writer::retryLater()
{
    m_units.clear();
    callAfter(m_timer, retryDelay, m_alive, [this] { flush(); });
}

void progress_writer::finishFlush()
{
    m_flushing = false;
    for (const processed_ends &each : m_processedEnds) {
        executor_entry *const executor = m_scheduler.executors().find(each.executor);
        if (executor && executor->info.startedUnixMs == each.born)
            executor->lastStoredEnd = std::max(executor->lastStoredEnd, each.sequence);
    }
    m_processedEnds.clear();
    m_onStored();
}

} // namespace azurelb
