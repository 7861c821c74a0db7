#include "soak_scenario.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace azurelb::soak {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds loopInterval{20};
/** Lets the daemons read the configuration and discover each other before faults begin. */
constexpr milliseconds startupTime{1500};
/** Covers lease expiry, takeover and 20 jobs; every accepted job with short tasks must end within
    it. */
constexpr milliseconds recoveryTime{25'000};
/** Covers two runs of the longest task in addition; every accepted job must end within it. */
constexpr milliseconds longRecoveryTime{45'000};
constexpr std::chrono::seconds waveDeadline{20};
constexpr milliseconds maintenanceTime{2000};
constexpr milliseconds submitInterval{120};
constexpr std::size_t maxActiveCallers{40};
/** One job of so many is scheduled. */
constexpr std::size_t jobsPerScheduled{12};
/** Executors that restart together in recutExecutor(), at most. */
constexpr std::size_t maxRecutExecutors{4};
/** Jobs submitted as they restart: two orders are in flight for each executor, the others wait. */
constexpr unsigned recutJobs{8};
/** Runs that an executor must have room for so that orders wait for it. */
constexpr std::size_t minRecutRoom{4};
/** One executor of so many closes each connection, if faults need such executors. */
constexpr std::size_t executorsPerClosing{3};
/** Executors that recutBehindIntermediary() restarts at a time. */
constexpr std::size_t executorsPerCut{4};
constexpr std::size_t longJobsPerCut{8};
/** The directory removes an entry after three heartbeat intervals of 1.5 s without one. */
constexpr milliseconds registrationTerm{4500};
/** The latest moment at which a late commit is executed, counted from its arrival. */
constexpr milliseconds maxCommitDelay{6000};
/** Times in which commits are executed late in executeExecutorRecordsLate() and
    executeWaitingCountsLate(). */
constexpr milliseconds recordsLateTime{3000};
constexpr milliseconds countsLateTime{2500};
/** Long jobs are submitted during this time before executors without a record are cut off. */
constexpr milliseconds longJobsTime{300};

const char *const noFault{"{}"};
const char *const cutAll{R"({"cut":"CUT_ALL"})"};
const char *const silenceExisting{R"({"cut":"CUT_SILENT_OLD"})"};
const char *const refuseAll{R"({"down":true})"};

} // namespace

const std::array<soak_scenario::fault, 29> soak_scenario::faultTypes{{
    {"kill", &soak_scenario::killDaemon},
    {"stop", &soak_scenario::terminateDaemon},
    {"pause", &soak_scenario::pauseDaemon},
    {"cut", &soak_scenario::cutDaemonFromStore},
    {"silence", &soak_scenario::silenceStoreConnections},
    {"reset", &soak_scenario::resetStoreConnections},
    {"crash-executor", &soak_scenario::crashExecutor},
    {"cut-executor", &soak_scenario::cutExecutor},
    {"silence-executor", &soak_scenario::silenceExecutorConnections},
    {"store-down", &soak_scenario::makeStoreUnavailable},
    {"store-slow", &soak_scenario::delayStoreReplies},
    {"store-loses-answers", &soak_scenario::loseCommitReplies},
    {"store-drops-history", &soak_scenario::dropStoreHistory},
    {"restart-executor", &soak_scenario::restartExecutorUnnoticed},
    {"change-configuration", &soak_scenario::changeConfigurationAndOwner},
    {"recut-executor", &soak_scenario::recutExecutor, &soak_scenario::mayRecut},
    {"restart-kept", &soak_scenario::restartBehindIntermediary},
    {"restart-closing", &soak_scenario::restartClosingExecutor, nullptr, true},
    {"restart-twice", &soak_scenario::restartTwice},
    {"restart-unnamed", &soak_scenario::restartWithUnnamedEntry},
    {"recut-kept", &soak_scenario::recutBehindIntermediary, &soak_scenario::isCutOffOver},
    {"recut-closing", &soak_scenario::recutClosingExecutors, &soak_scenario::isCutOffOver, true},
    {"store-executes-late", &soak_scenario::executeCommitsLate},
    {"late-records", &soak_scenario::executeExecutorRecordsLate, &soak_scenario::isCutOffOver},
    {"late-counts", &soak_scenario::executeWaitingCountsLate, &soak_scenario::isCutOffOver},
    {"cancel-under-way", &soak_scenario::cancelSubmissionsUnderWay},
    {"wave-of-new-vm", &soak_scenario::requestWaveOfNewVm, &soak_scenario::hasFewAddedVms},
    {"hopeless-gang", &soak_scenario::submitHopelessGang, &soak_scenario::hasNoHopelessGang},
    {"overdue-occurrences", &soak_scenario::submitOverdueOccurrences,
     &soak_scenario::hasNoOverdueOccurrences},
}};

soak_scenario::soak_scenario(const soak_options &options)
    : m_options{options}
    , m_random{options.seed}
    , m_store{m_loop, [this] { return listVms(); },
              [this](const std::string &vm, std::int64_t wave) {
                  return maintain(vm, wave);
              }}
{
    addExecutors();
    if (m_options.oddEntries)
        putOddEntries();
    writeConfiguration();
    std::vector<soak_caller::endpoint> daemonAddresses;
    for (std::size_t index = 0; index < m_options.daemons; ++index) {
        m_daemons.push_back(
            std::make_unique<soak_daemon>(m_loop, "daemon-" + std::to_string(index),
                                          "127.0.0.1:" + std::to_string(m_store.port())));
        daemonAddresses.push_back(m_daemons.back()->callerAddress());
    }
    m_callers =
        std::make_unique<soak_caller>(m_loop, std::move(daemonAddresses), m_audit, m_options.seed);
}

bool soak_scenario::isFault(const std::string &name)
{
    return std::any_of(faultTypes.begin(), faultTypes.end(),
                       [&name](const fault &each) { return name == each.name; });
}

bool soak_scenario::hasClosingExecutors() const
{
    return std::any_of(faultTypes.begin(), faultTypes.end(), [this](const fault &each) {
        return each.needsClosingExecutors
            && (m_options.onlyFaults.empty() || m_options.onlyFaults.contains(each.name));
    });
}

std::string soak_scenario::listVms() const
{
    std::string list;
    for (const soak_executor &each : m_executors) {
        const bool isUp = boot_clock::now() >= each.inMaintenanceUntil;
        list += (list.empty() ? "" : ",") + each.endpoint->vmEntry(isUp ? "up" : "upkeep");
    }
    return R"({"Machines":[)" + list + R"(],"NextToken":""})";
}

void soak_scenario::addExecutors()
{
    for (std::size_t index = 0; index < m_options.executors; ++index)
        addExecutor();
}

void soak_scenario::addExecutor()
{
    const auto countRuns = [this](const task_id &task) {
        return static_cast<std::size_t>(std::count_if(
            m_executors.begin(), m_executors.end(), [&task](const soak_executor &each) {
                each.endpoint->advance(boot_clock::now());
                return each.endpoint->model().running().contains(task);
            }));
    };
    const std::size_t index = m_executors.size();
    soak_executor added;
    added.id = "i-" + std::to_string(index);
    // Executor clocks may run up to 2 % slow.
    added.endpoint = std::make_unique<executor_endpoint>(m_loop, added.id, m_audit, countRuns,
                                                         index % 2 == 0 ? 1.0 : 0.98);
    added.closesConnections = hasClosingExecutors() && index % executorsPerClosing == 0;
    if (added.closesConnections)
        added.endpoint->closeConnections();
    added.proxy = std::make_unique<standin::forwarder>(
        m_loop, soak_caller::endpoint{boost::asio::ip::address_v4::loopback(), 0},
        soak_caller::endpoint{boost::asio::ip::address_v4::loopback(), added.endpoint->port()});
    m_executors.push_back(std::move(added));
    registerExecutor(m_executors.back());
}

/** Entries of other writers, which name no executor and no daemon. */
void soak_scenario::putOddEntries()
{
    constexpr std::size_t greatDepth{10'000};
    const std::string nested = std::string(greatDepth, '[') + std::string(greatDepth, ']');
    const std::string sound = m_store.state().find("servers/i-0")->value;
    const json::object odd{{"id", "odd"}, {"address", "127.0.0.1:99999"}, {"pool", "pool"}};
    m_store.state().put("servers/odd-nested", nested);
    m_store.state().put("servers/odd-bytes", "\xff\xfe");
    m_store.state().put("servers/odd id", sound);
    m_store.state().put("azurelb/executor/odd", json::serialize(odd));
    m_store.state().put("azurelb/node/odd", "127.0.0.1:99999");
}

void soak_scenario::writeConfiguration()
{
    const json::object queue{
        {"Name", "plans"}, {"Host", "soak.example"}, {"Prefix", "/plans/"},     {"Service", "pool"},
        {"Attempts", 4},   {"Stretch", 2.0},         {"TargetDurationMs", 500}, {"Priority", 1}};
    json::object urgent = queue;
    urgent["Name"] = "urgent";
    urgent["Prefix"] = "/urgent/";
    urgent["Priority"] = 0;
    const json::object team{{"Name", "lecco"}, {"ApiKeys", json::array{"key-1"}}, {"Weight", 100}};
    m_store.state().put(
        "op/config",
        json::serialize(json::object{{"Version", m_configVersion},
                                     {"Routes", json::array{queue, urgent}},
                                     {"Services", json::array{json::object{{"Name", "pool"}}}},
                                     {"Tenants", json::array{team}},
                                     {"Limits", json::object{}}}));
}

void soak_scenario::run()
{
    for (auto &each : m_daemons)
        each->start();
    runFor(startupTime, false);
    runFor(m_options.faultTime, true);
    clearFaults();
    const boot_time clearedAt = boot_clock::now();
    awaitJobs(clearedAt + recoveryTime);
    for (const job_id &job : m_audit.unfinishedJobs()) {
        if (!m_callers->hasLongTasks(job))
            m_audit.addViolation("an accepted job with short tasks has not ended: " + job);
    }
    awaitJobs(clearedAt + longRecoveryTime);
    awaitWaves(clearedAt + longRecoveryTime);
    if (m_audit.jobCount() == 0)
        m_audit.addViolation("no job was accepted, so nothing was checked");
    for (const job_id &job : m_audit.unfinishedJobs())
        m_audit.addViolation("an accepted job has not ended: " + job);
}

void soak_scenario::awaitJobs(boot_time latest)
{
    while (boot_clock::now() < latest && m_callers->activeCount() > 0)
        runFor(milliseconds{200}, false);
}

void soak_scenario::runFor(milliseconds time, bool withFaults)
{
    const boot_time end = boot_clock::now() + time;
    boot_time nextFault = boot_clock::now() + randomDuration(100, 600);
    boot_time nextJob = boot_clock::now();
    while (boot_clock::now() < end) {
        m_loop.run_for(loopInterval);
        const boot_time now = boot_clock::now();
        m_store.expireLeases(now);
        for (soak_executor &each : m_executors)
            each.endpoint->advance(now);
        checkWaves();
        if (!withFaults)
            continue;
        if (now >= nextJob && m_callers->activeCount() < maxActiveCallers) {
            if (++m_submitted % jobsPerScheduled == 0)
                m_callers->submitScheduledJob();
            else
                m_callers->submitJob();
            nextJob = now + submitInterval;
        }
        if (now >= nextFault) {
            injectRandomFault();
            nextFault = now + randomDuration(200, 1600);
        }
        restartEndedDaemons();
    }
}

void soak_scenario::injectRandomFault()
{
    std::vector<const fault *> allowed;
    for (const fault &each : faultTypes) {
        if (m_options.onlyFaults.empty() || m_options.onlyFaults.contains(each.name))
            allowed.push_back(&each);
    }
    const fault &chosen = *allowed.at(allowed.size() == 1 ? 0 : randomIndex(allowed.size()));
    if (chosen.isPossible && !(this->*chosen.isPossible)())
        return;
    m_faults += std::string{" "} + chosen.name;
    ++m_faultCount;
    (this->*chosen.inject)();
}

/** Restarts exited daemons, as the platform does. */
void soak_scenario::restartEndedDaemons()
{
    for (auto &each : m_daemons) {
        if (each->hasEnded())
            each->start();
    }
}

void soak_scenario::clearFaults()
{
    m_timers.clear();
    m_store.faults() = {};
    for (auto &each : m_daemons) {
        each->setStoreFault(noFault);
        each->signal(SIGCONT);
    }
    for (soak_executor &each : m_executors) {
        setProxy(each, noFault);
        const bool isListed = m_store.state().find("servers/" + each.id) != nullptr;
        if (each.hasUnnamedEntry || !isListed)
            registerExecutor(each);
    }
    restartEndedDaemons();
}

void soak_scenario::schedule(milliseconds pause, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_loop, pause));
    m_timers.back()->async_wait(
        [action = std::move(action)](const boost::system::error_code &cancelled) {
            if (!cancelled)
                action();
        });
}

std::size_t soak_scenario::randomIndex(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(m_random);
}

milliseconds soak_scenario::randomDuration(int minMs, int maxMs)
{
    return milliseconds{std::uniform_int_distribution<int>{minMs, maxMs}(m_random)};
}

soak_daemon &soak_scenario::randomDaemon()
{
    return *m_daemons.at(randomIndex(m_daemons.size()));
}

soak_scenario::soak_executor &soak_scenario::randomExecutor()
{
    return m_executors.at(randomIndex(m_executors.size()));
}

void soak_scenario::setProxy(soak_executor &executor, const std::string &fault)
{
    standin::request request{standin::http::verb::post, "/_standin/fault", 11};
    request.body() = fault;
    (void)executor.proxy->control("fault", request);
}

void soak_scenario::killDaemon()
{
    randomDaemon().signal(SIGKILL);
}

void soak_scenario::terminateDaemon()
{
    soak_daemon &chosen = randomDaemon();
    chosen.signal(SIGCONT);
    chosen.signal(SIGTERM);
}

void soak_scenario::pauseDaemon()
{
    soak_daemon &chosen = randomDaemon();
    chosen.signal(SIGSTOP);
    schedule(randomDuration(300, 6000), [&chosen] { chosen.signal(SIGCONT); });
}

void soak_scenario::cutDaemonFromStore()
{
    soak_daemon &chosen = randomDaemon();
    chosen.setStoreFault(cutAll);
    schedule(randomDuration(300, 5000), [&chosen] { chosen.setStoreFault(noFault); });
}

void soak_scenario::silenceStoreConnections()
{
    randomDaemon().setStoreFault(silenceExisting);
}

void soak_scenario::resetStoreConnections()
{
    soak_daemon &chosen = randomDaemon();
    chosen.setStoreFault(refuseAll);
    schedule(randomDuration(50, 1500), [&chosen] { chosen.setStoreFault(noFault); });
}

/** Connections end with the process that has accepted them. */
void soak_scenario::endIncarnation(soak_executor &executor)
{
    executor.endpoint->crash(boot_clock::now());
    setProxy(executor, silenceExisting);
}

void soak_scenario::crashExecutor()
{
    soak_executor &chosen = randomExecutor();
    endIncarnation(chosen);
    registerExecutor(chosen);
}

void soak_scenario::registerExecutor(soak_executor &executor)
{
    executor.hasUnnamedEntry = false;
    m_store.state().put(
        "servers/" + executor.id,
        executor.endpoint->registration(standin::toString(executor.proxy->address())));
}

soak_daemon *soak_scenario::findOwner()
{
    const keyspace_item *const claim = m_store.state().find("azurelb/owner");
    const std::string owner = claim ? claim->value.substr(0, claim->value.find('/')) : "";
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(),
                                    [&owner](const auto &each) { return each->name() == owner; });
    return found == m_daemons.end() ? nullptr : found->get();
}

/** The executor registers late, so that orders reach the new incarnation before the owner knows of
    it. */
void soak_scenario::restartExecutorUnnoticed()
{
    soak_executor &chosen = randomExecutor();
    endIncarnation(chosen);
    schedule(randomDuration(100, 1000), [this, &chosen] { registerExecutor(chosen); });
}

/** Executors on which the owner places the next runs: it fills one after the other. */
std::vector<soak_scenario::soak_executor *> soak_scenario::busyExecutorsWithRoom()
{
    const auto runsOn = [](const soak_executor *executor) {
        return executor->endpoint->model().running().size();
    };
    std::vector<soak_executor *> found;
    for (soak_executor &each : m_executors) {
        if (runsOn(&each) > 0 && runsOn(&each) + minRecutRoom <= executor_endpoint::maxRuns)
            found.push_back(&each);
    }
    std::stable_sort(found.begin(), found.end(),
                     [&runsOn](const soak_executor *left, const soak_executor *right) {
                         return runsOn(left) > runsOn(right);
                     });
    return found;
}

bool soak_scenario::mayRecut()
{
    return boot_clock::now() >= m_recutUntil && !busyExecutorsWithRoom().empty();
}

/** Executors restart and register late while orders for them are sent. Soon after one of them has
    started a run, the owner is killed and they are cut off. Orders for the former incarnation that
    reach the new one run under a lease that the next owner does not expect. One at a time, since
    each change of the owner prolongs the wait for leases. */
void soak_scenario::recutExecutor()
{
    std::vector<soak_executor *> chosen = busyExecutorsWithRoom();
    const std::size_t wanted = 2 + randomIndex(maxRecutExecutors - 1);
    chosen.resize(std::min(chosen.size(), wanted));
    recut_plan plan;
    for (soak_executor *const each : chosen) {
        endIncarnation(*each);
        schedule(randomDuration(300, 1500), [this, each] { registerExecutor(*each); });
        plan.targets.push_back({each, randomDuration(7700, 10'000)});
    }
    for (unsigned count = 0; count < recutJobs; ++count) {
        const milliseconds duration = randomDuration(5000, 12'000);
        schedule(randomDuration(0, 100), [this, duration] { m_callers->submitJob(duration); });
    }
    plan.latest = boot_clock::now() + randomDuration(700, 2000);
    plan.registerDelay = randomDuration(0, 150);
    plan.killDelay = plan.registerDelay + randomDuration(200, 350);
    plan.cutDelay = plan.killDelay + randomDuration(-200, 150);
    m_recutUntil = boot_time::max();
    awaitStartAfterRestart(plan);
}

/** Takes the further steps once an executor has started a run, or if none does in time. */
void soak_scenario::awaitStartAfterRestart(const recut_plan &plan)
{
    const bool started =
        std::any_of(plan.targets.begin(), plan.targets.end(), [](const recut_plan::target &each) {
            return !each.executor->endpoint->model().running().empty();
        });
    if (!started && boot_clock::now() < plan.latest) {
        schedule(loopInterval, [this, plan] { awaitStartAfterRestart(plan); });
        return;
    }
    schedule(plan.registerDelay, [this, plan] {
        for (const recut_plan::target &each : plan.targets)
            registerExecutor(*each.executor);
    });
    schedule(plan.killDelay, [this] {
        if (soak_daemon *const owner = findOwner())
            owner->signal(SIGKILL);
    });
    schedule(plan.cutDelay, [this, plan] { cutRestartedExecutors(plan); });
}

void soak_scenario::cutRestartedExecutors(const recut_plan &plan)
{
    const boot_time now = boot_clock::now();
    m_recutUntil = now;
    for (const recut_plan::target &each : plan.targets) {
        setProxy(*each.executor, cutAll);
        schedule(each.outage, [this, each] { setProxy(*each.executor, noFault); });
        m_recutUntil = std::max(m_recutUntil, now + each.outage);
    }
}

void soak_scenario::restartInTheDark(soak_executor &executor, milliseconds darkTime)
{
    setProxy(executor, cutAll);
    schedule(darkTime / 2,
             [&executor] { executor.endpoint->crashBehindIntermediary(boot_clock::now()); });
    schedule(darkTime, [this, &executor] { setProxy(executor, noFault); });
    schedule(darkTime / 2 + randomDuration(100, 1000),
             [this, &executor] { registerExecutor(executor); });
}

void soak_scenario::restartBehindIntermediary()
{
    restartInTheDark(randomExecutor(), randomDuration(100, 800));
}

soak_scenario::executor_list soak_scenario::closingExecutors()
{
    executor_list found;
    for (soak_executor &each : m_executors) {
        if (each.closesConnections)
            found.push_back(&each);
    }
    return found;
}

void soak_scenario::restartClosing(soak_executor &executor)
{
    const bool isDark = randomIndex(2) == 0;
    if (isDark) {
        restartInTheDark(executor, randomDuration(50, 400));
        return;
    }
    endIncarnation(executor);
    schedule(randomDuration(100, 1000), [this, &executor] { registerExecutor(executor); });
}

void soak_scenario::restartClosingExecutor()
{
    const executor_list closing = closingExecutors();
    restartClosing(*closing.at(randomIndex(closing.size())));
}

void soak_scenario::restartTwice()
{
    soak_executor &chosen = randomExecutor();
    const milliseconds darkTime = randomDuration(100, 800);
    restartInTheDark(chosen, darkTime);
    const milliseconds second = darkTime / 2 + randomDuration(50, 800);
    schedule(second, [&chosen] { chosen.endpoint->crashBehindIntermediary(boot_clock::now()); });
    schedule(second + randomDuration(100, 1000), [this, &chosen] { registerExecutor(chosen); });
}

/** The directory's entry names no incarnation from before the restart until the next registration.
 */
void soak_scenario::restartWithUnnamedEntry()
{
    soak_executor &chosen = randomExecutor();
    chosen.hasUnnamedEntry = true;
    m_store.state().put(
        "servers/" + chosen.id,
        chosen.endpoint->unnamedRegistration(standin::toString(chosen.proxy->address())));
    restartInTheDark(chosen, randomDuration(100, 800));
}

void soak_scenario::submitLongJobsDuring(milliseconds time)
{
    constexpr milliseconds after{200};
    for (std::size_t index = 0; index < longJobsPerCut; ++index)
        schedule(
            (time + after) * index / longJobsPerCut,
            [this, duration = randomDuration(8000, 13'000)] { m_callers->submitJob(duration); });
}

void soak_scenario::cutOffAndEndOwner(const executor_list &executors, milliseconds pause)
{
    const milliseconds cutAfter = pause + randomDuration(300, 2000);
    const milliseconds reconnectAfter = cutAfter + randomDuration(5000, 12'000);
    m_cutOffUntil = boot_clock::now() + reconnectAfter;
    for (soak_executor *const each : executors) {
        schedule(cutAfter, [this, each] { setProxy(*each, cutAll); });
        schedule(reconnectAfter, [this, each] { setProxy(*each, noFault); });
    }
    const int signal = randomIndex(2) == 0 ? SIGKILL : SIGTERM;
    const milliseconds earliest{-300};
    schedule(cutAfter + earliest + randomDuration(0, 1500), [this, signal] {
        if (soak_daemon *const owner = findOwner()) {
            owner->signal(SIGCONT);
            owner->signal(signal);
        }
    });
}

/** Several executors restart behind an intermediary while long tasks are placed, and are cut off
    while the owner changes: runs of a former owner's orders may outlast the leases that the next
   one assumes. One at a time, as recutExecutor(). */
void soak_scenario::recutBehindIntermediary()
{
    executor_list chosen;
    for (soak_executor &each : m_executors)
        chosen.push_back(&each);
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    chosen.resize(std::min(chosen.size(), executorsPerCut));
    constexpr milliseconds longestDark{800};
    submitLongJobsDuring(longestDark);
    for (soak_executor *const each : chosen)
        restartInTheDark(*each, randomDuration(100, static_cast<int>(longestDark.count())));
    cutOffAndEndOwner(chosen, longestDark);
}

void soak_scenario::recutClosingExecutors()
{
    constexpr milliseconds longestDark{400};
    submitLongJobsDuring(longestDark);
    const executor_list closing = closingExecutors();
    for (soak_executor *const each : closing)
        restartClosing(*each);
    cutOffAndEndOwner(closing, longestDark);
}

/** Two daemons miss the answers that carry the change, and the owner is stopped within a second. */
void soak_scenario::changeConfigurationAndOwner()
{
    soak_daemon *const owner = findOwner();
    for (int count = 0; count < 2; ++count) {
        soak_daemon &chosen = randomDaemon();
        if (&chosen != owner)
            chosen.setStoreFault(silenceExisting);
    }
    ++m_configVersion;
    writeConfiguration();
    const milliseconds pause = randomDuration(50, 1000);
    if (!owner)
        return;
    schedule(pause, [owner] {
        owner->signal(SIGCONT);
        owner->signal(SIGTERM);
    });
}

void soak_scenario::cutExecutor()
{
    soak_executor &chosen = randomExecutor();
    setProxy(chosen, cutAll);
    schedule(randomDuration(300, 7000), [this, &chosen] { setProxy(chosen, noFault); });
}

void soak_scenario::silenceExecutorConnections()
{
    setProxy(randomExecutor(), silenceExisting);
}

void soak_scenario::makeStoreUnavailable()
{
    m_store.faults().down = true;
    schedule(randomDuration(200, 4000), [this] { m_store.faults().down = false; });
}

void soak_scenario::delayStoreReplies()
{
    m_store.faults().delay = randomDuration(50, 400);
    schedule(randomDuration(500, 4000), [this] { m_store.faults().delay = {}; });
}

void soak_scenario::loseCommitReplies()
{
    m_store.faults().lostRepliesPerTen = 4;
    schedule(randomDuration(500, 4000), [this] { m_store.faults().lostRepliesPerTen = 0; });
}

void soak_scenario::dropStoreHistory()
{
    m_store.state().dropHistory();
}

void soak_scenario::executeCommitsLateDuring(milliseconds time, const std::string &prefix)
{
    m_store.faults().lateCommitsPerTen = 5;
    m_store.faults().lateKeyPrefix = prefix;
    schedule(time, [this] { m_store.faults().lateCommitsPerTen = 0; });
}

void soak_scenario::executeCommitsLate()
{
    executeCommitsLateDuring(randomDuration(500, 4000), {});
}

void soak_scenario::cutOffUntilUnregistered(soak_executor &executor, milliseconds outage)
{
    setProxy(executor, cutAll);
    schedule(registrationTerm,
             [this, &executor] { m_store.state().remove("servers/" + executor.id); });
    schedule(outage, [this, &executor] {
        setProxy(executor, noFault);
        registerExecutor(executor);
    });
}

/** The less busy half of the executors is cut off one after the other until their records are
   removed, and is back at once; some of the writes of these records are executed late. Then long
   tasks are placed, executors are cut off again and the owner changes: runs on an executor without
   its record start elsewhere. */
void soak_scenario::executeExecutorRecordsLate()
{
    executor_list chosen;
    for (soak_executor &each : m_executors)
        chosen.push_back(&each);
    // The records of executors with orders in flight are kept for the longest lease.
    std::stable_sort(chosen.begin(), chosen.end(),
                     [](const soak_executor *left, const soak_executor *right) {
                         return left->endpoint->model().running().size()
                             < right->endpoint->model().running().size();
                     });
    chosen.resize((chosen.size() + 1) / 2);
    constexpr milliseconds pause{150};
    for (std::size_t index = 0; index < chosen.size(); ++index)
        schedule(pause * index,
                 [this, executor = chosen[index],
                  outage = registrationTerm + randomDuration(1000, 2000)] {
                     cutOffUntilUnregistered(*executor, outage);
                 });
    schedule(registrationTerm,
             [this] { executeCommitsLateDuring(recordsLateTime, "azurelb/executor/"); });
    const milliseconds settled = registrationTerm + recordsLateTime + maxCommitDelay;
    schedule(settled - longJobsTime, [this] {
        for (int count = 0; count < 2; ++count)
            submitLongJobsDuring(longJobsTime);
    });
    schedule(settled, [this, chosen] { cutOffAndEndOwner(withoutRecord(chosen), {}); });
    m_cutOffUntil = boot_clock::now() + settled + registrationTerm;
}

/** Returns those of the executors whose records are missing in the store; the first if none is. The
    records of others that are cut off would make the next owner wait. No executor that the owner
   has used since it registered may be without one. */
soak_scenario::executor_list soak_scenario::withoutRecord(const executor_list &executors)
{
    executor_list found;
    for (soak_executor *const each : executors) {
        if (m_store.state().find("azurelb/executor/" + each->id))
            continue;
        found.push_back(each);
        if (!each->endpoint->model().running().empty())
            m_audit.addViolation("an executor with runs has no record: " + each->id);
    }
    return found.empty() ? executor_list{executors.front()} : found;
}

/** Submits jobs without cancellations that take up all executors. */
void soak_scenario::fillExecutors(milliseconds duration)
{
    constexpr std::uint32_t tasksPerJob{8};
    const std::size_t jobs = m_executors.size() * executor_endpoint::maxRuns / tasksPerJob + 1;
    for (std::size_t index = 0; index < jobs; ++index)
        m_callers->submitJob(duration, tasksPerJob, false);
}

void soak_scenario::askForWaitingJobsDuring(milliseconds time)
{
    constexpr milliseconds interval{250};
    for (milliseconds at = interval; at <= time; at += interval)
        schedule(at, [this] { m_callers->askForWaitingJobs(); });
}

/** All executors are busy for some time, during which jobs arrive: few while commits are executed
    late, many after that. Then the counts of waiting jobs stay the same until a run ends. */
void soak_scenario::executeWaitingCountsLate()
{
    constexpr milliseconds busyTime{15'000};
    constexpr milliseconds fewJobsFrom{2000};
    constexpr unsigned fewJobs{5};
    constexpr unsigned manyJobs{60};
    const milliseconds manyJobsFrom = fewJobsFrom + countsLateTime + randomDuration(0, 500);
    fillExecutors(busyTime);
    const auto submitShortJob = [this] {
        m_callers->submitJob(milliseconds{500}, 1, false);
    };
    for (unsigned index = 0; index < fewJobs; ++index)
        schedule(fewJobsFrom + countsLateTime * index / fewJobs, submitShortJob);
    schedule(fewJobsFrom, [this] { executeCommitsLateDuring(countsLateTime, "azurelb/waiting"); });
    for (unsigned index = 0; index < manyJobs; ++index)
        schedule(manyJobsFrom + milliseconds{10} * index, submitShortJob);
    // Other faults may leave the fleet without an owner for longer than the bound.
    if (!m_options.onlyFaults.empty())
        askForWaitingJobsDuring(busyTime);
    m_cutOffUntil = boot_clock::now() + busyTime + registrationTerm;
}

/** A daemon is paused, and goes on within the time that the submissions wait for their answers. */
void soak_scenario::cancelSubmissionsUnderWay()
{
    constexpr unsigned jobs{3};
    const std::size_t paused = randomIndex(m_daemons.size());
    const std::size_t other = (paused + 1 + randomIndex(m_daemons.size() - 1)) % m_daemons.size();
    soak_daemon &chosen = *m_daemons.at(paused);
    chosen.signal(SIGSTOP);
    schedule(randomDuration(800, 2500), [&chosen] { chosen.signal(SIGCONT); });
    for (unsigned index = 0; index < jobs; ++index) {
        const milliseconds pause = randomDuration(50, 400);
        schedule(randomDuration(20, 200), [this, paused, other, pause] {
            m_callers->submitAndCancel(paused, other, pause);
        });
    }
}

/** It waits for as long as the scenario lasts. */
void soak_scenario::submitHopelessGang()
{
    m_hasHopelessGang = true;
    m_callers->submitHopelessGang();
}

/** They are worked off for as long as the scenario lasts. */
void soak_scenario::submitOverdueOccurrences()
{
    m_hasOverdueOccurrences = true;
    m_callers->submitOverdueOccurrences();
}

/** A VM is added, and its maintenance requested before the daemons have read the list again. */
void soak_scenario::requestWaveOfNewVm()
{
    addExecutor();
    const std::string vm = m_executors.back().endpoint->model().info().vm;
    schedule(randomDuration(100, 800), [this, vm] { requestWave(vm); });
}

void soak_scenario::requestWave(const std::string &vm)
{
    const auto number = static_cast<std::int64_t>(m_waves.size()) + 1;
    m_waves[number] = {vm};
    m_store.state().put("op/wave/" + std::to_string(number),
                        json::serialize(json::object{{"Wave", number},
                                                     {"Machines", json::array{vm}},
                                                     {"DeadlineS", waveDeadline.count()},
                                                     {"MaxCount", 1}}));
}

bool soak_scenario::maintain(const std::string &vm, std::int64_t wave)
{
    const auto requested = m_waves.find(wave);
    const auto found =
        std::find_if(m_executors.begin(), m_executors.end(), [&vm](const soak_executor &each) {
            return each.endpoint->model().info().vm == vm;
        });
    if (requested == m_waves.end() || requested->second.vm != vm || found == m_executors.end())
        return false;
    if (std::exchange(requested->second.begun, true))
        return true;
    soak_executor &executor = *found;
    executor.inMaintenanceUntil = boot_clock::now() + maintenanceTime;
    endIncarnation(executor);
    m_store.state().remove("servers/" + executor.id);
    schedule(maintenanceTime, [this, &executor] { registerExecutor(executor); });
    return true;
}

void soak_scenario::checkWaves()
{
    for (auto &[number, wave] : m_waves) {
        const keyspace_item *const state =
            m_store.state().find("status/wave/" + std::to_string(number));
        if (wave.completed || !state || state->value.find("completed") == std::string::npos)
            continue;
        wave.completed = true;
        if (!wave.begun)
            m_audit.addViolation("a wave was shown as completed without the maintenance of "
                                 + wave.vm);
    }
}

void soak_scenario::awaitWaves(boot_time latest)
{
    const auto isOpen = [](const auto &each) {
        return !each.second.completed;
    };
    while (boot_clock::now() < latest && std::any_of(m_waves.begin(), m_waves.end(), isOpen))
        runFor(milliseconds{200}, false);
    for (const auto &[number, wave] : m_waves) {
        if (!wave.completed)
            m_audit.addViolation("a wave has not been completed: " + std::to_string(number));
    }
}

std::string soak_scenario::logs()
{
    std::ostringstream out;
    for (auto &daemon : m_daemons) {
        for (const std::string &line : daemon->lines())
            out << daemon->name() << ' ' << line << '\n';
    }
    return out.str();
}

} // namespace azurelb::soak
