#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/control/owner.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/control/vm_service.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/jobs/job_work.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/keyspace/prefix_reader.hpp>
#include <azurelb/log/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Longest duration of one watch call on the jobs. Cancellations must take effect within 3 s, even
    if the connection to the store has died. */
constexpr milliseconds jobWatchTimeout{800};
/** Delay before a failed write is repeated. */
constexpr milliseconds writeRetryDelay{120};
/** Values of the last-owner key: the owner may give orders, or has stopped. */
constexpr std::string_view ownerActive{"open"};
constexpr std::string_view ownerStopped{"closed"};
constexpr std::string_view ownerYielded{"yielded-"};
/** Multiple of this VM's processors from which another VM is preferred as owner. */
constexpr double muchLargerFactor{2.0};

/** Returns the processor share, in cores, of a candidate's entry; 0 if it is malformed. */
double processorsOf(const keyspace_item &item)
{
    double processors = 0;
    const char *const end = item.value.data() + item.value.size();
    const auto read = std::from_chars(item.value.data(), end, processors);
    if (read.ec == std::errc{} && read.ptr == end && std::isfinite(processors) && processors > 0)
        return processors;
    logEvent(event::stored_value_damaged, {{"key", item.key}});
    return 0;
}

/** Returns the job identifier of a key `jobs prefix + id + suffix`; empty for another suffix. */
job_id jobIdOfKey(std::string_view key, std::string_view suffix)
{
    key.remove_prefix(std::min(key.size(), store_keys::jobs.size()));
    if (!key.ends_with(suffix))
        return {};
    key.remove_suffix(suffix.size());
    return job_id{key};
}

} // namespace

void owner::start()
{
    m_services.executors.setToken(m_token);
    m_services.vms.setToken(m_token);
    m_services.store.get(std::string{store_keys::lastOwner},
                         [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_range &&read) {
                             if (alive.expired())
                                 return;
                             for (const keyspace_item &each : read.items)
                                 m_revisions.record(each);
                             const std::string last = read.error == keyspace_error::none
                                 ? read.items.front().value
                                 : std::string{};
                             m_hasPredecessor = read.error != keyspace_error::missing;
                             m_orderlyHandover = last.ends_with(ownerStopped);
                             if (last.starts_with(ownerYielded))
                                 recordActiveOwner();
                             else
                                 considerCandidates();
                         });
}

/** Leaves the key to a VM that is much larger, as one owner carries the load of all pools. Only one
    owner in a row does so, since the entries of lost VMs stay for a while. */
void owner::considerCandidates()
{
    m_services.store.range(
        std::string{store_keys::candidates}, {},
        [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_range &&page) {
            if (alive.expired())
                return;
            const bool isLargerKnown =
                std::any_of(page.items.begin(), page.items.end(), [this](const auto &each) {
                    return processorsOf(each) >= m_options.processors * muchLargerFactor;
                });
            if (page.error == keyspace_error::none && isLargerKnown)
                yieldToLargerVm();
            else
                recordActiveOwner();
        });
}

void owner::yieldToLargerVm()
{
    const std::string state =
        std::string{ownerYielded} + std::string{m_orderlyHandover ? ownerStopped : ownerActive};
    const keyspace_write write = makeStateWrite(state);
    m_services.store.commit(
        write, [this, write, alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) {
            if (alive.expired())
                return;
            m_revisions.apply(write, outcome);
            if (outcome.error == keyspace_error::none)
                m_services.yieldKey("a larger VM is available");
            else
                recordActiveOwner();
        });
}

keyspace_write owner::makeStateWrite(std::string_view state) const
{
    const std::string key{store_keys::lastOwner};
    return keyspace_write{}
        .require(std::string{store_keys::owner}, m_token)
        .replace({key, std::string{state}, 0}, m_revisions.of(key));
}

void owner::recordActiveOwner()
{
    // Once this is stored, the next owner must assume that this one has given orders.
    const keyspace_write write = makeStateWrite(ownerActive);
    m_services.store.commit(
        write, [this, write, alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) {
            if (alive.expired())
                return;
            m_revisions.apply(write, outcome);
            const bool isLost = outcome.error == keyspace_error::conflict
                && m_revisions.of(std::string{store_keys::owner}) != m_token;
            if (isLost) {
                m_onLost("the key belongs to another owner");
                return;
            }
            if (outcome.error != keyspace_error::none) {
                callAfter(m_tickTimer, writeRetryDelay, m_alive, [this] { recordActiveOwner(); });
                return;
            }
            loadStoredState();
        });
}

bool owner::mayHavePredecessorsLeases() const
{
    const boot_time now = boot_clock::now();
    const auto &all = m_scheduler.executors().all();
    return std::any_of(all.begin(), all.end(),
                       [now](const auto &each) { return mayHaveUnknownRuns(each.second, now); });
}

void owner::handOver(std::function<void()> done)
{
    m_handedOver = true;
    // The handover is orderly only if no leases of a lost predecessor may be in force.
    if (!m_orderlyHandover && (!m_scheduling || mayHavePredecessorsLeases())) {
        boost::asio::post(m_services.loop, std::move(done));
        return;
    }
    m_services.store.commit(makeStateWrite(ownerStopped),
                            [done = std::move(done)](keyspace_commit &&) { done(); });
}

/** Reads everything at once, which shortens the time without an owner. No other owner changes any
    of it meanwhile, as writes of earlier ones fail from the election on. */
void owner::loadStoredState()
{
    const auto read = [this](std::string_view prefix, std::function<void()> done) {
        m_readers.push_back(std::make_unique<prefix_reader>(
            m_services.loop, m_services.store, std::string{prefix},
            [this](const keyspace_item &item) { restoreItem(item); }, std::move(done)));
    };
    read(store_keys::progress, [this] {
        m_progressLoaded = true;
        applyUnappliedJobs();
        finishRead();
    });
    read(store_keys::executors, [this] { finishRead(); });
    read(store_keys::waves, [this] { finishRead(); });
    m_pendingReads = m_readers.size() + 2;
    readRevision(store_keys::waiting);
    readRevision(store_keys::forecast);
    watchJobs();
    watchExecutors();
    for (const auto &each : m_readers)
        each->start();
}

/** Without it, the first write of the key fails once; nothing waits for the answer. */
void owner::readRevision(std::string_view key)
{
    m_services.store.get(std::string{key},
                         [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_range &&read) {
                             if (alive.expired())
                                 return;
                             for (const keyspace_item &each : read.items)
                                 m_revisions.record(each);
                         });
}

void owner::finishRead()
{
    if (--m_pendingReads != 0)
        return;
    m_jobsLoaded = true;
    for (const executor_registration &each : std::exchange(m_unappliedRegistrations, {}))
        handleRegistration(each);
    beginScheduling();
}

void owner::restoreItem(const keyspace_item &item)
{
    const std::string_view key{item.key};
    if (key.starts_with(store_keys::progress)) {
        auto progress = decodeProgress(item.value);
        if (progress)
            m_storedProgress[job_id{key.substr(store_keys::progress.size())}] = {
                std::move(*progress), item.revision};
        else
            logEvent(event::stored_value_damaged, {{"key", key}});
        return;
    }
    if (key.starts_with(store_keys::waves)) {
        const numbered_wave_progress wave = decodeWaveProgress(item.value);
        if (wave.number == 0)
            logEvent(event::stored_value_damaged, {{"key", key}});
        m_revisions.record(item);
        m_vmManager.restore(wave);
        return;
    }
    m_writer.noteRecord(item);
    const auto info = decodeRegistration(item.value);
    if (!info) {
        logEvent(event::stored_value_damaged, {{"key", key}});
        return;
    }
    m_scheduler.inheritExecutor(*info, boot_clock::now(), ageAtTakeover(*info));
}

void owner::watchJobs()
{
    m_jobWatcher = std::make_unique<prefix_watcher>(
        m_services.loop, m_services.store, std::string{store_keys::jobs}, jobWatchTimeout,
        [this](const keyspace_item &item) {
            if (m_progressLoaded)
                handleJobChange(item);
            else
                m_unappliedJobs.push_back(item);
        },
        [this] { finishRead(); });
    m_jobWatcher->start();
}

/** A job is added with its progress, so that no task is taken for unfinished. */
void owner::applyUnappliedJobs()
{
    for (const keyspace_item &each : std::exchange(m_unappliedJobs, {}))
        handleJobChange(each);
}

/** Registrations are applied once the jobs are known, as executors report runs of these. */
void owner::watchExecutors()
{
    m_directory = m_services.makeDirectory();
    m_directory->start({[this](const executor_registration &info) {
                            if (m_jobsLoaded)
                                handleRegistration(info);
                            else
                                m_unappliedRegistrations.push_back(info);
                        },
                        [this](const executor_id &id) {
                            std::erase_if(m_unappliedRegistrations,
                                          [&id](const auto &each) { return each.id == id; });
                            m_registered.erase(id);
                            m_scheduler.unregisterExecutor(id);
                            scheduleAdvance();
                        },
                        [this] {
                            finishRead();
                        }});
}

void owner::handleJobChange(const keyspace_item &item)
{
    if (item.removed)
        return;
    if (const job_id cancelled = jobIdOfKey(item.key, store_keys::cancelSuffix); !cancelled.empty())
    {
        if (!m_scheduler.jobs().find(cancelled))
            m_earlyCancellations.insert(cancelled);
        m_scheduler.cancelJob(cancelled, boot_clock::now());
        scheduleAdvance();
        return;
    }
    const auto record = decodeJob(item.value);
    if (!record) {
        logEvent(event::stored_value_damaged, {{"key", item.key}});
        return;
    }
    noteNeededVersion(record->configVersion);
    addJob(*record);
}

void owner::noteNeededVersion(std::int64_t version)
{
    if (version <= std::max(m_neededVersion, m_desired.config.version))
        return;
    m_neededVersion = version;
    logEvent(event::configuration_behind,
             {{"version", m_desired.config.version}, {"needed", m_neededVersion}});
}

void owner::addJob(const job_record &record)
{
    const boot_time now = boot_clock::now();
    const boot_time acceptedAt = std::min(now, now - (unixNow() - record.acceptedAt));
    const auto found = m_storedProgress.find(record.id);
    stored_progress known = found == m_storedProgress.end() ? stored_progress{} : found->second;
    // Earlier versions did not store when a job ended; its retention begins now.
    if (isFinal(known.progress.state) && known.progress.endedAt.count() == 0)
        known.progress.endedAt = unixNow();
    const bool isNew = !m_scheduler.jobs().find(record.id);
    m_scheduler.addJob(record, known.progress, known.revision, !m_jobsLoaded, acceptedAt);
    if (found != m_storedProgress.end())
        m_storedProgress.erase(found);
    if (isNew)
        recordArrival(record, m_jobsLoaded ? now : acceptedAt);
    if (m_earlyCancellations.erase(record.id) != 0)
        m_scheduler.cancelJob(record.id, now);
    scheduleAdvance();
}

/** Inherited jobs show the bursts that the previous owners saw; their work is not offered now. */
void owner::recordArrival(const job_record &record, boot_time at)
{
    const double work = shortWorkCoreMs(record.steps);
    m_vmManager.noteArrival(record.pool, work, at);
    if (m_jobsLoaded)
        m_overload.recordArrival(record.pool, work);
}

} // namespace azurelb
