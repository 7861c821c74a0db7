#include <azurelb/control/executor_roster.hpp>
#include <azurelb/control/owner.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/control/vm_service.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Longest wait of one watch for jobs. */
constexpr milliseconds jobWatchWait{5000};
/** Pause before a read or write that the store did not take is repeated. */
constexpr milliseconds loadRetryPause{120};
/** Values of the last owner's key: it gives orders, or has stopped doing so. */
constexpr std::string_view openTerm{"open"};
constexpr std::string_view closedTerm{"closed"};

/** Splits KEY of PREFIX ID SUFFIX; empty if it has another form. */
job_id jobOfKey(std::string_view key, std::string_view suffix)
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
    m_with.executors.setToken(m_token);
    m_with.vms.setToken(m_token);
    m_with.store.get(std::string{store_keys::lastOwner},
                     [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_range &&read) {
                         if (alive.expired())
                             return;
                         m_orderly = read.error == keyspace_error::none
                             && read.items.front().value == closedTerm;
                         loadAll();
                     });
}

void owner::loadAll()
{
    // From here on a successor must reckon with orders of this owner.
    const keyspace_write write{{{std::string{store_keys::owner}, m_token}},
                               {{std::string{store_keys::lastOwner}, std::string{openTerm}, 0}},
                               {}};
    m_with.store.commit(
        write, [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) {
            if (alive.expired())
                return;
            if (outcome.error == keyspace_error::conflict) {
                m_onLost("the key belongs to another owner");
                return;
            }
            if (outcome.error != keyspace_error::none) {
                callAfter(m_tickTimer, loadRetryPause, m_alive, [this] { loadAll(); });
                return;
            }
            loadStored();
        });
}

void owner::handOver(std::function<void()> done)
{
    m_handedOver = true;
    const keyspace_write write{{{std::string{store_keys::owner}, m_token}},
                               {{std::string{store_keys::lastOwner}, std::string{closedTerm}, 0}},
                               {}};
    m_with.store.commit(write, [done = std::move(done)](keyspace_commit &&) { done(); });
}

void owner::loadStored()
{
    load(std::string{store_keys::progress}, {}, [this] {
        load(std::string{store_keys::executors}, {},
             [this] { load(std::string{store_keys::waves}, {}, [this] { follow(); }); });
    });
}

void owner::load(std::string prefix, std::string after, std::function<void()> next)
{
    m_with.store.range(prefix, after,
                       [this, prefix, after, next = std::move(next),
                        alive = std::weak_ptr<bool>{m_alive}](keyspace_range &&page) {
                           if (alive.expired())
                               return;
                           if (page.error != keyspace_error::none) {
                               callAfter(
                                   m_tickTimer, loadRetryPause, m_alive,
                                   [this, prefix, after, next] { load(prefix, after, next); });
                               return;
                           }
                           for (const keyspace_item &each : page.items)
                               takeStored(each);
                           if (page.more && !page.items.empty())
                               load(prefix, page.items.back().key, next);
                           else
                               next();
                       });
}

void owner::takeStored(const keyspace_item &item)
{
    const std::string_view key{item.key};
    if (key.starts_with(store_keys::progress)) {
        auto progress = decodeProgress(item.value);
        if (progress)
            m_stored[job_id{key.substr(store_keys::progress.size())}] = {std::move(*progress),
                                                                         item.revision};
        else
            logEvent(event::stored_value_damaged, {{"key", key}});
        return;
    }
    if (key.starts_with(store_keys::waves)) {
        m_vmManager.restore(decodeWaveProgress(item.value));
        return;
    }
    const auto info = decodeRoster(item.value);
    if (!info) {
        logEvent(event::stored_value_damaged, {{"key", key}});
        return;
    }
    m_scheduler.inheritExecutor(*info, boot_clock::now());
}

void owner::follow()
{
    m_jobs = std::make_unique<prefix_follower>(
        m_with.loop, m_with.store, std::string{store_keys::jobs}, jobWatchWait,
        [this](const keyspace_item &item) { takeJob(item); },
        [this] {
            m_jobsLoaded = true;
            m_directory = m_with.makeDirectory();
            m_directory->start({[this](const executor_registration &info) { seen(info); },
                                [this](const executor_id &id) {
                                    m_registered.erase(id);
                                    m_scheduler.unregisterExecutor(id);
                                    kick();
                                },
                                [this] {
                                    begin();
                                }});
        });
    m_jobs->start();
}

void owner::takeJob(const keyspace_item &item)
{
    if (item.removed)
        return;
    if (const job_id cancelled = jobOfKey(item.key, store_keys::cancelSuffix); !cancelled.empty()) {
        if (!m_scheduler.jobs().find(cancelled))
            m_cancelledEarly.insert(cancelled);
        m_scheduler.cancelJob(cancelled, boot_clock::now());
        kick();
        return;
    }
    const auto record = decodeJob(item.value);
    if (!record) {
        logEvent(event::stored_value_damaged, {{"key", item.key}});
        return;
    }
    if (record->configVersion > m_wishes.config.version)
        m_deferred.push_back(*record);
    else
        addJob(*record);
}

void owner::addJob(const job_record &record)
{
    const boot_time now = boot_clock::now();
    const boot_time acceptedAt = std::min(now, now - (unixNow() - record.acceptedAt));
    const auto found = m_stored.find(record.id);
    const stored_progress known = found == m_stored.end() ? stored_progress{} : found->second;
    m_scheduler.addJob(record, known.progress, known.revision, !m_jobsLoaded, acceptedAt);
    if (found != m_stored.end())
        m_stored.erase(found);
    else if (const job_entry *const job = m_scheduler.jobs().find(record.id))
        m_vmManager.noteArrival(record.pool, job->shortWorkCoreMs, now);
    if (m_cancelledEarly.erase(record.id) != 0)
        m_scheduler.cancelJob(record.id, now);
    kick();
}

void owner::admitDeferred()
{
    for (const job_record &each : std::exchange(m_deferred, {})) {
        if (each.configVersion > m_wishes.config.version)
            m_deferred.push_back(each);
        else
            addJob(each);
    }
}

} // namespace azurelb
