#include <azurelb/control/owner.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/control/vm_service.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;
namespace json = boost::json;

namespace {

/** Events that arrive within this time are handled by one scheduling pass. The time grows with the
    duration of a pass, so that passes take at most a ninth of the processor's time. */
constexpr milliseconds decisionInterval{4};
constexpr milliseconds maxDecisionInterval{40};
constexpr int minIdleFactor{8};
/** Interval of checks that no event triggers: lost executors and due occurrences. */
constexpr milliseconds tickInterval{50};
/** How long an executor waits for an ended run before it reports. With runs, the lease is renewed
    three times in its term. */
constexpr milliseconds runningReportWait{900};
constexpr milliseconds idleReportWait{2000};
/** While a long-running task starts up, the next task of its step may not be interrupted for
    maintenance. Reports at a tenth of the usual interruption keep this wait short. */
constexpr milliseconds startupReportWait{300};
/** The pace of backfill runs is set from reports of the last half second. */
constexpr milliseconds pacedReportWait{500};
/** Delay before the next request to an executor that did not answer, multiplied by the number of
    consecutive failures up to maxRetryFactor. */
constexpr milliseconds silentRetryDelay{120};
constexpr unsigned maxRetryFactor{6};
/** Interval of report requests while ended runs are not yet stored; they renew the lease of the
    executor's other runs. */
constexpr milliseconds unstoredReportDelay{400};
/** Interval of report requests while an executor reports runs of jobs that have not been read yet.
 */
constexpr milliseconds undecidedReportDelay{100};
/** Interval at which the counts of waiting jobs are published; they may be two seconds old. */
constexpr milliseconds publishInterval{500};
/** How long an ended job can be queried: the 120 s that the platform requires and a margin. */
constexpr milliseconds endedJobRetention{150'000};
constexpr milliseconds expiryInterval{5000};
/** Greatest difference between an executor's clock in an answer and the one that is expected from
    its last report: the rate is off by 2 % at most, and both may be held up on their way. */
constexpr milliseconds clockTolerance{1000};
/** Starts in one log line, which is cut off at 4,095 bytes. */
constexpr std::size_t maxStartsPerLine{100};
/** Number of run numbers for each owner; the token forms the upper bits. */
constexpr run_number runsPerOwner{run_number{1} << 24U};

/** Returns how long an executor may wait for an ended run before it reports. */
milliseconds reportWait(const executor_entry &executor)
{
    const auto &runs = executor.assignments;
    const auto startsUp = [](const auto &each) {
        return each.second.longRunning && each.second.progressPercent < 100;
    };
    const auto isPaced = [](const auto &each) {
        return each.second.backfill;
    };
    if (runs.empty())
        return idleReportWait;
    if (std::any_of(runs.begin(), runs.end(), startsUp))
        return startupReportWait;
    return std::any_of(runs.begin(), runs.end(), isPaced) ? pacedReportWait : runningReportWait;
}

/** Returns whether two starts are logged in one line: of one step and executor, for the same
    reason. */
bool isOnSameLine(const start_order &left, const start_order &right)
{
    return left.executor == right.executor && left.startedUnixMs == right.startedUnixMs
        && left.leaseEnd == right.leaseEnd && left.task.job == right.task.job
        && left.task.occurrence == right.task.occurrence && left.task.step == right.task.step
        && left.former.reason == right.former.reason && left.former.starts == right.former.starts
        && (left.former.run == 0) == (right.former.run == 0);
}

template <typename Number>
void append(std::string &list, Number number)
{
    if (!list.empty())
        list += ',';
    list += std::to_string(number);
}

std::string incarnationKey(const executor_id &id, std::int64_t born)
{
    return id + '/' + std::to_string(born);
}

} // namespace

owner::owner(services with, const options &settings, store_revision token, lost_handler onLost)
    : m_services{std::move(with)}
    , m_options{settings}
    , m_token{token}
    , m_onLost{std::move(onLost)}
    , m_gate{makeGate()}
    , m_scheduler{settings.scheduling, token * runsPerOwner}
    , m_writer{m_services.loop,
               m_services.store,
               m_scheduler,
               token,
               [this] { handleStored(); },
               [this] {
                   m_onLost("the key belongs to another owner");
               }}
    , m_vmManager{m_services.loop,
                  m_services.vms,
                  m_scheduler,
                  settings.vms,
                  [this] { return permits(order_kind::vm); },
                  [this](const wave_entry &wave, const wave_progress &progress) {
                      storeWave(wave, progress);
                  },
                  m_onLost}
    , m_passInterval{decisionInterval}
    , m_advanceTimer{m_services.loop}
    , m_tickTimer{m_services.loop}
{ }

order_gate owner::makeGate()
{
    const auto directoryState = [this] {
        return m_directory ? m_directory->state() : read_state{};
    };
    const auto jobsState = [this] {
        return m_jobWatcher ? m_jobWatcher->state() : read_state{};
    };
    return order_gate{m_options.gate,
                      {m_services.leaseState, jobsState, directoryState, m_services.documentsState},
                      boot_clock::now()};
}

owner::~owner()
{
    setLogBuffering(false);
    for (const auto &[id, each] : m_channels)
        m_services.executors.disconnect(id);
}

void owner::apply(const desired_state &desired)
{
    m_desired = desired;
    m_scheduler.apply(desired.config);
    m_scheduler.setEvacuatedZones(desired.evacuatedZones);
    m_vmManager.apply(desired);
    scheduleAdvance();
}

void owner::beginScheduling()
{
    m_scheduling = true;
    setLogBuffering(true);
    m_services.metrics.recordElection();
    logEvent(event::owner_ready,
             {{"token", m_token},
              {"jobs", m_scheduler.jobs().size()},
              {"executors", m_scheduler.executors().all().size()}});
    if (m_orderlyHandover)
        m_scheduler.executors().recordOrderlyHandover(boot_clock::now());
    // Stored executors that the directory does not list may still have runs.
    for (const auto &[id, executor] : m_scheduler.executors().all()) {
        if (!m_channels.contains(id))
            requestReport(id);
    }
    m_vmManager.start();
    tick();
}

void owner::handleRegistration(const executor_registration &info)
{
    retireEndedExecutors();
    if (m_endedIncarnations.contains(incarnationKey(info.id, info.startedUnixMs)))
        return;
    m_registered[info.id] = info;
    const executor_entry *const known = m_scheduler.executors().find(info.id);
    if (known && known->info.address != info.address) {
        m_services.executors.disconnect(info.id);
        m_channels.erase(info.id);
    }
    m_scheduler.registerExecutor(info, boot_clock::now(), ageAtTakeover(info));
    const executor_entry *const executor = m_scheduler.executors().find(info.id);
    if (executor && !executor->ownershipRecorded)
        m_writer.scheduleFlush();
    if (!m_channels.contains(info.id))
        requestReport(info.id);
    scheduleAdvance();
}

bool owner::permits(order_kind kind)
{
    return !m_handedOver && m_gate.permits(kind, boot_clock::now());
}

/** Calls of an earlier owner for a former incarnation concern only executors that this one finds
    when it takes over. */
milliseconds owner::ageAtTakeover(const executor_registration &info) const
{
    const bool isKnown = info.startedUnixMs != 0 && m_hasPredecessor && !m_scheduling;
    return isKnown ? unixNow() - milliseconds{info.startedUnixMs} : scheduler::unknownAge;
}

milliseconds owner::unixOffset() const
{
    return unixNow() - boot_clock::now().time_since_epoch();
}

void owner::requestReport(const executor_id &id)
{
    executor_entry *const executor = m_scheduler.executors().find(id);
    if (!executor) {
        m_channels.erase(id);
        m_services.executors.disconnect(id);
        return;
    }
    auto &held = m_channels[id];
    if (!held)
        held = std::make_unique<channel>(m_services.loop);
    channel &to = *held;
    if (to.reportPending)
        return;
    if (!permits(order_kind::renewal)) {
        requestReportAfter(id, tickInterval);
        return;
    }
    const boot_time now = boot_clock::now();
    report_request request;
    request.executor = id;
    request.address = executor->info.address;
    request.startedUnixMs = executor->info.startedUnixMs;
    const bool acknowledges =
        to.incarnationKnown && executor->lastStoredEnd > executor->lastAcknowledgedEnd;
    request.acknowledged = acknowledges ? executor->lastStoredEnd : 0;
    if (executor->contacted && to.incarnationKnown) {
        request.leaseEnd = m_scheduler.executors().leaseEnd(*executor, now);
        m_scheduler.executors().recordLease(*executor, *request.leaseEnd);
        request.wait = reportWait(*executor);
    }
    to.reportPending = true;
    if (acknowledges)
        m_acknowledgements.push_back(
            {request.executor, request.startedUnixMs, request.acknowledged});
    m_services.executors.report(
        request,
        [this, request, now, alive = std::weak_ptr<bool>{m_alive}](executor_reply &&reply) {
            if (!alive.expired())
                handleReport(request, std::move(reply), now);
        });
}

void owner::checkReached(const report_request &request, const executor_reply &reply)
{
    const bool hasContent = request.acknowledged != 0 || request.leaseEnd;
    if (!hasContent || reply.outcome != report_outcome::reported)
        return;
    const std::int64_t answered = reply.report.startedUnixMs;
    const bool isOther =
        request.startedUnixMs != 0 && answered != 0 && answered != request.startedUnixMs;
    if (reply.reduced || isOther)
        m_services.metrics.recordReach(request, reply);
}

void owner::requestReportAfter(const executor_id &id, milliseconds pause)
{
    channel &to = *m_channels.at(id);
    callAfter(to.timer, pause, m_alive, [this, id] { requestReport(id); });
}

void owner::handleReport(const report_request &request, executor_reply &&reply, boot_time askedAt)
{
    const executor_id &id = request.executor;
    const auto found = m_channels.find(id);
    if (found == m_channels.end())
        return;
    channel &to = *found->second;
    to.reportPending = false;
    const boot_time now = boot_clock::now();
    if (reply.outcome == report_outcome::fenced) {
        m_onLost("an executor has accepted orders from a newer owner");
        return;
    }
    // The refusal concerns the incarnation that was known when the report was requested.
    const executor_entry *const known = m_scheduler.executors().find(id);
    if (reply.outcome == report_outcome::other_incarnation && known
        && known->info.startedUnixMs != request.startedUnixMs)
        reply.outcome = report_outcome::no_answer;
    if (reply.outcome == report_outcome::other_incarnation) {
        logEvent(event::executor_ended,
                 {{"executor", id}, {"reason", "another incarnation answered"}});
        m_scheduler.endExecutor(id, now);
        m_writer.scheduleFlush();
        scheduleAdvance();
        requestReport(id);
        return;
    }
    if (reply.outcome == report_outcome::no_answer) {
        if (to.failures == 0 && m_scheduler.executors().find(id))
            logEvent(event::executor_silent,
                     {{"executor", id},
                      {"born", request.startedUnixMs},
                      {"up_to", request.acknowledged},
                      {"lease_end_ms",
                       request.leaseEnd ? std::to_string(request.leaseEnd->count())
                                        : std::string{"none"}}});
        to.failures = std::min(to.failures + 1, maxRetryFactor);
        doubtIncarnation(id, now);
        m_scheduler.markUnresponsive(id);
        requestReportAfter(id, silentRetryDelay * to.failures);
        scheduleAdvance();
        return;
    }
    to.failures = 0;
    to.incarnationKnown = askedAt > to.incarnationDoubtedAt;
    checkReached(request, reply);
    m_scheduler.setJobsReadAt(m_jobWatcher->state().confirmedAt);
    m_scheduler.applyReport(id, reply.report, askedAt, now);
    scheduleAdvance();
    executor_entry *const executor = m_scheduler.executors().find(id);
    if (executor && !reply.reduced && reply.report.startedUnixMs == request.startedUnixMs)
        executor->lastAcknowledgedEnd =
            std::max(executor->lastAcknowledgedEnd, request.acknowledged);
    if (executor && m_scheduler.hasUndecidedRuns(*executor)) {
        requestReportAfter(id, undecidedReportDelay);
    } else if (executor && executor->lastProcessedEnd > executor->lastStoredEnd) {
        m_writer.scheduleFlush();
        requestReportAfter(id, unstoredReportDelay);
    } else {
        requestReport(id);
    }
}

void owner::handleStored()
{
    // The next report of an executor is delayed until its ended runs are stored and acknowledged.
    std::vector<executor_id> waiting;
    for (const auto &[id, each] : m_channels) {
        const executor_entry *const executor = m_scheduler.executors().find(id);
        if (!each->reportPending && each->failures == 0
            && (!executor || executor->lastProcessedEnd <= executor->lastStoredEnd))
            waiting.push_back(id);
    }
    for (const executor_id &id : waiting)
        requestReport(id);
    scheduleAdvance();
}

void owner::scheduleAdvance()
{
    if (!m_scheduling || std::exchange(m_advanceScheduled, true))
        return;
    callAfter(m_advanceTimer, m_passInterval, m_alive, [this] { advance(); });
}

void owner::recordNotices()
{
    m_services.metrics.record(m_scheduler.takeNotices());
    owner_metrics::recordAcknowledgements(std::exchange(m_acknowledgements, {}));
}

void owner::advance()
{
    m_advanceScheduled = false;
    if (!permits(order_kind::stop)) {
        recordNotices();
        return;
    }
    const auto begun = std::chrono::steady_clock::now();
    const boot_time now = boot_clock::now();
    updateHold(now);
    m_scheduler.advance(now, unixOffset(), m_services.leaseState().confirmedAt,
                        m_heldFor ? placement_mode::suspended : placement_mode::allowed);
    // Lines on ends and given-up runs come before those on the starts that they permit.
    recordNotices();
    sendOrders();
    retireEndedExecutors();
    m_writer.scheduleFlush();
    const auto spent = std::chrono::duration_cast<milliseconds>(
        (std::chrono::steady_clock::now() - begun) * minIdleFactor);
    m_passInterval = std::clamp(spent, decisionInterval, maxDecisionInterval);
}

/** Forgets the registrations of executors that have ended, so that they are not used again while
   the directory still lists them. */
void owner::retireEndedExecutors()
{
    for (const executor_incarnation &each : m_scheduler.takeEndedIncarnations()) {
        if (each.isFinal)
            m_endedIncarnations.insert(incarnationKey(each.executor, each.startedUnixMs));
        if (const auto listed = m_registered.find(each.executor);
            listed != m_registered.end() && listed->second.startedUnixMs == each.startedUnixMs)
            m_registered.erase(listed);
        m_writer.removeExecutor(each.executor);
    }
}

void owner::sendOrders()
{
    const executor_orders orders = m_scheduler.takeOrders();
    for (std::size_t index = 0; index < orders.size();)
        index = logStarts(orders, index);
    for (const executor_order &each : orders)
        std::visit([this](const auto &order) { send(order); }, each);
}

/** Logs the starts from an index on that are of the same step and executor in one line; returns the
    index after them. */
std::size_t owner::logStarts(const executor_orders &orders, std::size_t index) const
{
    const auto *const first = std::get_if<start_order>(&orders[index]);
    if (!first)
        return index + 1;
    const std::size_t begin = index;
    for (++index; index < orders.size() && index - begin < maxStartsPerLine; ++index) {
        const auto *const next = std::get_if<start_order>(&orders[index]);
        if (!next || !isOnSameLine(*first, *next))
            break;
    }
    if (!mayLog(event::run_ordered))
        return index;
    std::string indexes;
    std::string runs;
    std::string formerRuns;
    for (std::size_t each = begin; each < index; ++each) {
        const auto &order = std::get<start_order>(orders[each]);
        append(indexes, order.task.index);
        append(runs, order.run);
        if (order.former.run != 0)
            append(formerRuns, order.former.run);
    }
    const former_run &former = first->former;
    if (former.reason == release_reason::none)
        logEvent(event::run_ordered,
                 {{"task", toString(first->task)},
                  {"indexes", indexes},
                  {"run", runs},
                  {"executor", first->executor},
                  {"token", m_token},
                  {"born", first->startedUnixMs},
                  {"lease_end_ms", first->leaseEnd.count()}});
    else
        logEvent(event::run_ordered,
                 {{"task", toString(first->task)},
                  {"indexes", indexes},
                  {"run", runs},
                  {"executor", first->executor},
                  {"token", m_token},
                  {"born", first->startedUnixMs},
                  {"lease_end_ms", first->leaseEnd.count()},
                  {"start", former.starts + 1},
                  {"former", toString(former.reason)},
                  {"former_run", formerRuns}});
    return index;
}

void owner::send(const start_order &order)
{
    const executor_entry *const executor = m_scheduler.executors().find(order.executor);
    if (!executor)
        return;
    const auto sent = std::make_shared<const start_order>(order);
    const boot_time orderedAt = boot_clock::now();
    m_services.executors.start(
        executor->info.address, order,
        [this, sent, alive = std::weak_ptr<bool>{m_alive}] {
            return !alive.expired() && permits(order_kind::start)
                && m_scheduler.isStartPending(*sent);
        },
        [this, sent, orderedAt, alive = std::weak_ptr<bool>{m_alive}](start_reply reply) {
            if (!alive.expired())
                handleStartReply(*sent, reply, orderedAt);
        });
}

void owner::handleStartReply(const start_order &order, const start_reply &reply,
                             boot_time orderedAt)
{
    if (reply.outcome == start_outcome::fenced) {
        m_onLost("an executor has accepted orders from a newer owner");
        return;
    }
    const boot_time now = boot_clock::now();
    m_services.metrics.recordStart(reply.outcome);
    if (reply.outcome != start_outcome::started)
        logEvent(event::run_not_started,
                 {{"task", toString(order.task)},
                  {"run", order.run},
                  {"executor", order.executor},
                  {"outcome", toString(reply.outcome)}});
    const milliseconds expectedClock =
        order.leaseEnd - m_options.scheduling.leaseTerm + (now - orderedAt);
    if (reply.clock && std::chrono::abs(*reply.clock - expectedClock) > clockTolerance) {
        doubtIncarnation(order.executor, now);
        m_scheduler.recordAnswerOnOtherClock(order.executor, now);
        if (reply.outcome == start_outcome::started)
            m_services.metrics.recordOtherIncarnation(order, *reply.clock, expectedClock);
    }
    if (reply.outcome == start_outcome::unknown)
        doubtIncarnation(order.executor, now);
    if (reply.otherReport)
        m_scheduler.applyReport(order.executor, *reply.otherReport, orderedAt, now);
    m_scheduler.applyStartOutcome(order, reply.outcome, now);
    if (reply.outcome != start_outcome::started)
        scheduleAdvance();
}

void owner::doubtIncarnation(const executor_id &id, boot_time now)
{
    const auto found = m_channels.find(id);
    if (found == m_channels.end())
        return;
    found->second->incarnationKnown = false;
    found->second->incarnationDoubtedAt = now;
}

void owner::send(const stop_order &order)
{
    const executor_entry *const executor = m_scheduler.executors().find(order.executor);
    if (!executor)
        return;
    logEvent(event::run_stop_ordered,
             {{"task", toString(order.task)},
              {"run", order.run},
              {"executor", order.executor},
              {"reason", toString(order.reason)}});
    m_services.executors.stop(
        executor->info.address, order,
        [this, order, alive = std::weak_ptr<bool>{m_alive}](start_outcome outcome) {
            if (alive.expired())
                return;
            const boot_time now = boot_clock::now();
            if (outcome == start_outcome::unknown)
                doubtIncarnation(order.executor, now);
            m_scheduler.applyStopOutcome(order, outcome == start_outcome::started, now);
        });
}

void owner::send(const cpu_share_order &order)
{
    if (const executor_entry *const executor = m_scheduler.executors().find(order.executor))
        m_services.executors.pace(executor->info.address, order, [](start_outcome) {});
}

void owner::tick()
{
    const boot_time now = boot_clock::now();
    monitorLoad(now);
    retireEndedExecutors();
    std::vector<executor_registration> unknown;
    for (const auto &[id, info] : m_registered) {
        if (!m_scheduler.executors().find(id))
            unknown.push_back(info);
    }
    for (const executor_registration &each : unknown)
        handleRegistration(each);
    if (now - m_publishedAt >= publishInterval)
        publishLoad();
    if (now - m_expiredRemovedAt >= expiryInterval)
        removeExpiredJobs();
    scheduleAdvance();
    flushLog();
    callAfter(m_tickTimer, tickInterval, m_alive, [this] { tick(); });
}

void owner::updateHold(boot_time now)
{
    const auto outdated = m_gate.findOutdatedInput(order_kind::start, now);
    if (outdated.has_value() != m_heldFor.has_value()) {
        if (outdated)
            logEvent(
                event::starts_held,
                {{"input", toString(*outdated)}, {"age_ms", m_gate.ageOf(*outdated, now).count()}});
        else
            logEvent(event::starts_resumed, {{"held_ms", (now - m_heldSince).count()}});
        m_heldSince = now;
    }
    m_heldFor = outdated;
    if (m_gate.resumedAt() != m_loggedPause) {
        m_loggedPause = m_gate.resumedAt();
        logEvent(event::event_loop_paused, {{"token", m_token}});
    }
}

/** Hands over if this daemon processes events too late to act on recent inputs. */
void owner::monitorLoad(boot_time now)
{
    m_gate.recordActivity(now);
    updateHold(now);
    m_loadMonitor.recordTick(m_heldFor && !m_gate.isFailing(*m_heldFor), now);
    if (!m_loadMonitor.isOverloaded() || std::exchange(m_yielding, true))
        return;
    logEvent(event::owner_overloaded,
             {{"token", m_token}, {"delay_ms", m_loadMonitor.takeMaxDelay().count()}});
    handOver([yieldKey = m_services.yieldKey] { yieldKey("overloaded"); });
}

/** Stores a wave's progress and the state that operators see in one write, so that no later owner
    repeats what is shown as done. The condition on the progress keeps a delayed write from
   replacing a newer state. */
void owner::storeWave(const wave_entry &wave, const wave_progress &progress)
{
    const std::string key = store_keys::wave(wave.number);
    const keyspace_write write =
        keyspace_write{}
            .require(std::string{store_keys::owner}, m_token)
            .replace({key, encodeWaveProgress(wave.number, progress), 0}, m_revisions.of(key))
            .putBeside(key, m_services.encodeWaveState(wave));
    m_services.store.commit(write,
                            [this, write, number = wave.number,
                             alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) {
                                if (alive.expired())
                                    return;
                                m_revisions.apply(write, outcome);
                                if (outcome.error == keyspace_error::none)
                                    return;
                                logEvent(event::progress_not_stored,
                                         {{"error", toString(outcome.error)}, {"wave", number}});
                                m_vmManager.reportAgain(number);
                            });
}

std::string owner::encodeWaitingCounts() const
{
    json::object counts;
    for (const queue_entry &each : m_desired.config.queues) {
        if (const std::size_t waiting = m_scheduler.jobs().countPendingJobs(each.name))
            counts[each.name] = waiting;
    }
    return json::serialize(counts);
}

load_forecast owner::makeForecast(const std::unordered_map<std::string, pool_load> &loads,
                                  boot_time now)
{
    load_forecast forecast;
    forecast.number = ++m_forecastNumber;
    forecast.pools = m_overload.update(m_vmManager.poolRooms(loads), now);
    return forecast;
}

void owner::publishLoad()
{
    m_publishedAt = boot_clock::now();
    const auto loads = m_scheduler.poolLoads(m_publishedAt);
    m_services.metrics.recordPoolLoads(loads);
    m_services.metrics.recordEventLoopDelay(m_loadMonitor.takeMaxDelay());
    for (const order_input each : allOrderInputs)
        m_services.metrics.recordInputAge(toString(each), m_gate.ageOf(each, m_publishedAt));

    std::string waiting = encodeWaitingCounts();
    const load_forecast forecast = makeForecast(loads, m_publishedAt);
    keyspace_write write;
    write.require(std::string{store_keys::owner}, m_token);
    if (waiting != m_publishedWaiting) {
        const std::string key{store_keys::waiting};
        write.replace({key, std::move(waiting), 0}, m_revisions.of(key));
        // Until it is answered, this write may replace the published counts at any time.
        m_publishedWaiting.reset();
    }
    if (!forecast.empty() || m_forecastStored) {
        const std::string key{store_keys::forecast};
        write.replace({key, encode(forecast), 0}, m_revisions.of(key));
        m_forecastStored = true;
    }
    if (write.empty())
        return;
    m_services.store.commit(write,
                            [this, write, listsPools = !forecast.empty(),
                             alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&outcome) {
                                if (!alive.expired())
                                    handlePublished(write, listsPools, outcome);
                            });
}

void owner::handlePublished(const keyspace_write &write, bool listsPools,
                            const keyspace_commit &outcome)
{
    m_revisions.apply(write, outcome);
    if (outcome.error != keyspace_error::none)
        return;
    for (const keyspace_put &each : write.operations().puts) {
        // The answer to a newer write may have arrived before.
        if (m_revisions.of(each.key) != outcome.revision)
            continue;
        if (each.key == store_keys::waiting)
            m_publishedWaiting = each.value;
        else
            m_forecastStored = listsPools;
    }
}

void owner::removeExpiredJobs()
{
    const boot_time now = boot_clock::now();
    m_expiredRemovedAt = now;
    for (const job_id &id : m_scheduler.jobs().jobsEndedBefore(now - endedJobRetention)) {
        const store_revision progress = m_scheduler.jobs().find(id)->storedRevision;
        m_scheduler.jobs().erase(id);
        m_writer.removeJob({id, m_jobWatcher->revisionOf(store_keys::jobRecord(id)),
                            m_jobWatcher->revisionOf(store_keys::jobCancel(id)), progress});
    }
}

} // namespace azurelb
