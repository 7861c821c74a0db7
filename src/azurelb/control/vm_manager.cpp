#include <azurelb/control/owner.hpp>
#include <azurelb/control/vm_manager.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Planning interval: a tenth of the duration of a move. */
constexpr milliseconds planInterval{150};
/** Intervals at which the list of VMs is read, with pending orders and without. */
constexpr milliseconds busyListInterval{400};
constexpr milliseconds idleListInterval{1500};
/** Greatest age of what the platform's list shows; it may be 0.8 s old. */
constexpr milliseconds maxListAge{1000};
/** An order has failed if the list shows no effect after its usual duration and this time. */
constexpr milliseconds settleTime{1500};
/** Time before refused maintenance of a VM is ordered again: the platform may not have read the
    wave yet, or may lag behind its own list. */
constexpr milliseconds refusalBackoff{1000};

constexpr std::int64_t millisPerCore{1000};

/** Tolerated difference between the clocks of an executor and of this VM. */
constexpr milliseconds bornTolerance{1000};

/** Returns the steps that have long-running tasks on the executor. */
std::vector<long_running_step> stepsOn(const executor_entry &executor, const job_table &jobs)
{
    std::vector<long_running_step> steps;
    for (const auto &[task, held] : executor.assignments) {
        const job_entry *const job = held.longRunning ? jobs.find(task.job) : nullptr;
        if (!job || task.step >= job->record.steps.size())
            continue;
        const task_id step = stepOf(task);
        const bool known =
            std::any_of(steps.begin(), steps.end(),
                        [&step](const long_running_step &each) { return each.step == step; });
        if (!known)
            steps.push_back({step, job->record.steps[task.step].maxUnavailable});
    }
    return steps;
}

/** Returns the cores of all VMs divided by the number of pools that are not on standby. */
double equalShare(const std::vector<vm_view> &vms, const std::vector<pool_entry> &pools)
{
    std::int64_t millis = 0;
    for (const vm_view &each : vms)
        millis += each.capacity.cpu;
    const auto active = std::count_if(pools.begin(), pools.end(),
                                      [](const pool_entry &each) { return !each.standby; });
    return static_cast<double>(millis) / millisPerCore
        / static_cast<double>(std::max<std::ptrdiff_t>(active, 1));
}

std::string moveKey(const std::string &vm, const std::string &pool)
{
    return vm + '>' + pool;
}

} // namespace

vm_manager::vm_manager(boost::asio::io_context &loop, vm_service &service, scheduler &runs,
                       const options &with, order_permission mayOrder, wave_handler onWave,
                       lost_handler onLost)
    : m_service{service}
    , m_scheduler{runs}
    , m_options{with}
    , m_mayOrder{std::move(mayOrder)}
    , m_onWave{std::move(onWave)}
    , m_onLost{std::move(onLost)}
    , m_timer{loop}
{ }

void vm_manager::start()
{
    m_startedAt = boot_clock::now();
    tick();
}

void vm_manager::apply(const desired_state &desired)
{
    m_pools = desired.config.pools;
    m_evacuatedZones = desired.evacuatedZones;
    for (const wave_entry &each : desired.waves) {
        const auto [place, isNew] = m_waves.try_emplace(each.number, each);
        if (!isNew) {
            changeWave(place->second, each);
            continue;
        }
        place->second.knownAt = boot_clock::now();
        if (m_startedAt == boot_time{})
            m_inheritedWaves.insert(each.number);
        m_unreported.insert(each.number);
        shareDeadline(each.number);
    }
}

void vm_manager::changeWave(wave_entry &wave, const wave_entry &requested)
{
    if (wave.vms == requested.vms && wave.maxParallel == requested.maxParallel)
        return;
    for (const std::string &vm : wave.vms) {
        const auto &kept = requested.vms;
        if (std::find(kept.begin(), kept.end(), vm) == kept.end() && !m_orders.contains(vm))
            reserve(vm, false);
    }
    wave = requested;
    wave.knownAt = boot_clock::now();
    m_progress[wave.number].deadlineUnix = milliseconds{0};
    m_unreported.insert(wave.number);
    shareDeadline(wave.number);
}

void vm_manager::restore(const numbered_wave_progress &stored)
{
    if (stored.number == 0)
        return;
    m_progress[stored.number] = stored.progress;
    shareDeadline(stored.number);
}

/** Makes the earliest deadline that any owner has computed for the wave the one of this owner and
    of its successors. */
void vm_manager::shareDeadline(std::int64_t number)
{
    const auto found = m_waves.find(number);
    if (found == m_waves.end())
        return;
    const milliseconds unixOffset = unixNow() - boot_clock::now().time_since_epoch();
    wave_entry &wave = found->second;
    wave_progress &progress = m_progress[number];
    if (progress.deadlineUnix.count() != 0)
        wave.deadline = std::min(wave.deadline, boot_time{progress.deadlineUnix - unixOffset});
    progress.deadlineUnix = wave.deadline.time_since_epoch() + unixOffset;
}

void vm_manager::noteArrival(const std::string &pool, double work, boot_time at)
{
    if (work <= 0)
        return;
    m_firstArrivalAt = std::min(m_firstArrivalAt.value_or(at), at);
    m_arrivals.push_back({pool, work, at});
}

/** Passes the arrivals since the last plan to the predictor in the order of their times. */
void vm_manager::recordArrivals()
{
    std::stable_sort(m_arrivals.begin(), m_arrivals.end(),
                     [](const arrival &left, const arrival &right) { return left.at < right.at; });
    for (const arrival &each : m_arrivals)
        m_predictor.recordArrival(each.pool, each.coreMs, each.at);
    m_arrivals.clear();
}

void vm_manager::reportAgain(std::int64_t wave)
{
    m_unreported.insert(wave);
}

void vm_manager::tick()
{
    const boot_time now = boot_clock::now();
    const bool busy = !m_orders.empty();
    if (!m_listPending && now - m_listedAt >= (busy ? busyListInterval : idleListInterval))
        readList();
    if (m_mayOrder() && !m_vms.empty())
        plan();
    callAfter(m_timer, planInterval, m_alive, [this] { tick(); });
}

void vm_manager::readList()
{
    m_listPending = true;
    m_listAskedAt = boot_clock::now();
    m_service.list([this, alive = std::weak_ptr<bool>{m_alive}](vm_listing &&listing) {
        if (!alive.expired())
            handleList(std::move(listing));
    });
}

void vm_manager::handleList(vm_listing &&listing)
{
    m_listPending = false;
    const boot_time now = boot_clock::now();
    m_listedAt = now;
    m_listFailed = !listing.ok;
    if (!listing.ok) {
        logEvent(event::vm_list_unreachable);
        return;
    }
    m_vms = std::move(listing.vms);
    m_vmsShownAt = m_listAskedAt - maxListAge;
    std::sort(m_vms.begin(), m_vms.end(),
              [](const vm_entry &left, const vm_entry &right) { return left.vm < right.vm; });
    for (const vm_entry &each : m_vms)
        settle(each);
    dropOrdersOfDepartedVms();
    endReplacedExecutors(now);
}

/**
 * Ends inherited executors that the list no longer shows. A VM has a new executor after a move or
 * maintenance, so the runs of its former executor have ended. Otherwise inherited jobs would wait
 * for leases that are no longer held.
 */
void vm_manager::endReplacedExecutors(boot_time now)
{
    std::set<executor_id> listed;
    bool isComplete = true;
    for (const vm_entry &each : m_vms) {
        listed.insert(each.executor);
        isComplete = isComplete && (each.state != vm_state::up || !each.executor.empty());
    }
    // A VM that is up without an identifier may have any of the executors.
    if (!isComplete)
        return;
    std::vector<executor_id> replaced;
    for (const auto &[id, executor] : m_scheduler.executors().all()) {
        if (executor.inherited && !executor.contacted && !executor.registered
            && !listed.contains(id) && isOlderThanList(executor))
            replaced.push_back(id);
    }
    for (const executor_id &id : replaced) {
        logEvent(event::executor_ended,
                 {{"executor", id}, {"reason", "its VM has another executor"}});
        m_scheduler.endExecutor(id, now);
    }
}

/** Returns whether the list would show the executor if it had not ended: the list may be older than
    an executor that started recently. */
bool vm_manager::isOlderThanList(const executor_entry &executor) const
{
    if (m_listAskedAt - m_startedAt >= maxListAge)
        return true;
    const milliseconds askedUnix = unixNow() - (boot_clock::now() - m_listAskedAt);
    return executor.info.startedUnixMs != 0
        && milliseconds{executor.info.startedUnixMs} + maxListAge + bornTolerance <= askedUnix;
}

/** Resolves the pending order for a VM from the VM's state in the list. */
void vm_manager::settle(const vm_entry &vm)
{
    const auto found = m_orders.find(vm.vm);
    if (found == m_orders.end())
        return;
    pending_order &order = found->second;
    // The VM was up when the order was given, so the list shows its effect.
    order.answered = order.answered || (order.wave != 0 && vm.state == vm_state::maintenance);
    endMaintainedExecutor(vm, order);
    const bool changed = vm.executor != order.executor && vm.state == vm_state::up;
    const bool expired = vm.state == vm_state::up && isOverdue(order);
    if (!(changed && order.answered) && !expired)
        return;
    finishOrder(vm.vm, order);
    if (!changed)
        reserve(vm.vm, false);
    m_orders.erase(found);
}

/** An order without an answer may be carried out late, and the list may be older than its answer.
 */
bool vm_manager::isOverdue(const pending_order &order) const
{
    const milliseconds usual =
        order.wave == 0 ? m_options.moveTime : m_options.waves.maintenanceTime;
    return m_vmsShownAt - order.orderedAt > usual + settleTime;
}

void vm_manager::finishOrder(const std::string &vm, const pending_order &order)
{
    if (order.wave == 0)
        return;
    wave_progress &progress = m_progress[order.wave];
    progress.inMaintenance.erase(vm);
    // A new executor alone proves nothing: the former one may have crashed.
    if (order.answered)
        progress.finished.insert(vm);
    else
        m_unansweredMaintenance.insert(vm);
    m_unreported.insert(order.wave);
}

void vm_manager::dropOrdersOfDepartedVms()
{
    std::erase_if(m_orders, [this](const auto &each) {
        const auto &[vm, order] = each;
        if (find(vm) || !isOverdue(order))
            return false;
        finishOrder(vm, order);
        return true;
    });
}

void vm_manager::endMaintainedExecutor(const vm_entry &vm, const pending_order &order)
{
    const bool hasEnded = vm.state != vm_state::up || vm.executor != order.executor;
    if (order.wave != 0 && order.answered && hasEnded)
        m_scheduler.endExecutor(order.executor, boot_clock::now());
}

const vm_entry *vm_manager::find(const std::string &vm) const
{
    const auto found = std::lower_bound(
        m_vms.begin(), m_vms.end(), vm,
        [](const vm_entry &each, const std::string &name) { return each.vm < name; });
    return found == m_vms.end() || found->vm != vm ? nullptr : &*found;
}

/**
 * Returns whether no order of an earlier owner for the VM can still be pending. That holds one
 * lease term after this owner's start. An order ends the VM's executor, so an executor that is
 * older than the lease term shows that there was no such order.
 */
bool vm_manager::earlierOrdersExpired(const executor_entry *executor, boot_time now) const
{
    if (now - m_startedAt >= m_options.vmLease)
        return true;
    if (!executor || executor->info.startedUnixMs == 0)
        return false;
    return unixNow() - milliseconds{executor->info.startedUnixMs}
    >= m_options.vmLease + bornTolerance;
}

bool vm_manager::isStandby(const std::string &pool) const
{
    return std::any_of(m_pools.begin(), m_pools.end(), [&pool](const pool_entry &each) {
        return each.standby && each.name == pool;
    });
}

std::vector<vm_view> vm_manager::makeViews() const
{
    const boot_time now = boot_clock::now();
    std::vector<vm_view> views;
    views.reserve(m_vms.size());
    for (const vm_entry &each : m_vms) {
        vm_view made;
        made.vm = each.vm;
        made.pool = each.pool;
        made.zone = each.zone;
        made.executor = each.executor;
        made.capacity = each.capacity;
        // Only an executor that answers is known to have no runs.
        const executor_entry *const executor = m_scheduler.executors().find(each.executor);
        const bool answers = executor && executor->contacted && !executor->unresponsive;
        made.up = each.state == vm_state::up && (answers || isStandby(each.pool))
            && earlierOrdersExpired(executor, now);
        made.excluded = m_evacuatedZones.contains(each.zone);
        const auto refused = m_refusedMaintenance.find(each.vm);
        made.hasPendingOrder = m_orders.contains(each.vm)
            || (refused != m_refusedMaintenance.end() && now < refused->second);
        if (executor) {
            made.excluded = made.excluded || executor->info.draining;
            made.reserved = executor->reservedForMaintenance;
            made.idleSince = std::max(executor->idleSince, m_firstArrivalAt.value_or(boot_time{}));
            made.longRuns = executor->longRuns;
            made.shortRuns = executor->shortRuns();
            if (executor->maintenanceDue)
                made.steps = stepsOn(*executor, m_scheduler.jobs());
        }
        views.push_back(std::move(made));
    }
    return views;
}

void vm_manager::plan()
{
    const boot_time now = boot_clock::now();
    // An earlier owner may have ordered maintenance of which this owner has no record.
    const bool hasWave = std::any_of(m_waves.begin(), m_waves.end(),
                                     [](const auto &each) { return !each.second.completed; });
    if (now - m_startedAt >= m_options.vmLease && (hasWave || !m_unreported.empty())) {
        markMaintenanceDue();
        planWaves({makeViews(), m_vmsShownAt}, now);
    }
    planPools(makeViews(), now);
}

void vm_manager::planWaves(const fleet_snapshot &fleet, boot_time now)
{
    for (auto &[number, wave] : m_waves) {
        if (wave.completed)
            continue;
        const wave_step step = planWave(wave, m_progress[number], fleet, now, m_options.waves);
        for (const std::string &each : step.vmsToReserve)
            reserve(each, true);
        for (const std::string &each : step.vmsToMaintain)
            maintain(each, number);
        if (step.completed) {
            wave.completed = true;
            m_unreported.insert(number);
            logEvent(event::wave_completed, {{"wave", number}});
        }
    }
    vacateReserved(fleet.vms, now);
    for (const std::int64_t number : std::exchange(m_unreported, {}))
        m_onWave(m_waves.at(number), m_progress[number]);
}

/**
 * Stops long-running tasks on reserved VMs. VMs with fewer such runs come first, so that one is
 * vacated before the next is begun.
 */
void vm_manager::vacateReserved(const std::vector<vm_view> &vms, boot_time now)
{
    std::vector<const vm_view *> reserved;
    for (const vm_view &each : vms) {
        if (each.reserved && each.longRuns > 0)
            reserved.push_back(&each);
    }
    std::sort(reserved.begin(), reserved.end(), [](const vm_view *left, const vm_view *right) {
        return left->longRuns < right->longRuns;
    });
    for (const vm_view *const each : reserved)
        m_scheduler.evictLongRunningTasks(each->executor, now);
}

void vm_manager::markMaintenanceDue()
{
    for (const auto &[number, wave] : m_waves) {
        const std::set<std::string> &finished = m_progress[number].finished;
        for (const std::string &vm : wave.vms) {
            const vm_entry *const entry =
                wave.completed || finished.contains(vm) ? nullptr : find(vm);
            if (executor_entry *const executor =
                    entry ? m_scheduler.executors().find(entry->executor) : nullptr)
                executor->maintenanceDue = true;
        }
    }
}

void vm_manager::planPools(const std::vector<vm_view> &vms, boot_time now)
{
    if (!m_firstArrivalAt)
        return;
    const auto loads = m_scheduler.poolLoads(now);
    m_predictor.setEqualShare(equalShare(vms, m_pools));
    recordArrivals();
    std::vector<planned_pool> pools;
    for (const pool_entry &each : m_pools) {
        planned_pool pool{each.name, each.standby, {}, 0};
        const auto found = loads.find(each.name);
        if (found != loads.end())
            pool.load = found->second;
        pool.load.expectedCores = m_predictor.expectedCores(each.name, now);
        pool.arrivingVms = countArrivingVms(each.name);
        logEvent(event::pool_planned,
                 {{"pool", each.name},
                  {"open_cores", pool.load.demand.cpu / millisPerCore},
                  {"expected_cores", static_cast<std::int64_t>(pool.load.expectedCores)},
                  {"lasting_cores", pool.load.longRunningDemand.cpu / millisPerCore},
                  {"spread", pool.load.minDistinctExecutors},
                  {"usable", pool.load.executors},
                  {"arriving", pool.arrivingVms}});
        pools.push_back(std::move(pool));
    }
    pool_planner_options options = m_options.pools;
    options.minActiveVms = vmsToKeepActive(pools, vms, now);
    for (const vm_move &each : planMoves(pools, vms, now, options)) {
        if (!m_refusedMoves.contains(moveKey(each.vm, each.pool)))
            move(each.vm, each.pool);
    }
}

/** Returns the number of VMs that stay in the pools: all until the first burst has ended, as its
    size is not known before. */
std::size_t vm_manager::vmsToKeepActive(const std::vector<planned_pool> &pools,
                                        const std::vector<vm_view> &vms, boot_time now) const
{
    if (const std::optional<double> burst = m_predictor.largestBurst())
        return vmsOfBurst(pools, averageCapacity(vms), *burst, m_options.pools);
    const bool mayBegin = now - *m_firstArrivalAt < firstBurstTime;
    return m_predictor.hasSeenBurst() || mayBegin ? vms.size() : 0;
}

std::size_t vm_manager::countArrivingVms(const std::string &pool) const
{
    return static_cast<std::size_t>(
        std::count_if(m_orders.begin(), m_orders.end(),
                      [&pool](const auto &order) { return order.second.pool == pool; }));
}

std::vector<pool_room>
vm_manager::poolRooms(const std::unordered_map<std::string, pool_load> &loads) const
{
    if (m_vms.empty())
        return {};
    const std::vector<vm_view> vms = makeViews();
    const auto isIdle = [](const vm_view &each) {
        return each.up && !each.excluded && !each.hasPendingOrder && each.isEmpty();
    };
    const auto activePools = std::count_if(m_pools.begin(), m_pools.end(),
                                           [](const pool_entry &each) { return !each.standby; });
    const double coresOfOne = equalShare(vms, m_pools) * static_cast<double>(activePools)
        / static_cast<double>(vms.size());
    std::vector<pool_room> rooms;
    for (const pool_entry &each : m_pools) {
        const auto load = loads.find(each.name);
        if (each.standby || load == loads.end())
            continue;
        const auto idleElsewhere = std::count_if(vms.begin(), vms.end(), [&](const vm_view &vm) {
            return vm.pool != each.name && isIdle(vm);
        });
        const auto arriving = static_cast<double>(countArrivingVms(each.name))
            + (m_listFailed ? 0.0 : static_cast<double>(idleElsewhere));
        const std::int64_t millis = load->second.capacity.cpu - load->second.longRunningDemand.cpu;
        rooms.push_back({each.name, load->second.remainingCoreMs,
                         static_cast<double>(std::max<std::int64_t>(millis, 0)) / millisPerCore,
                         arriving * coresOfOne, m_options.moveTime});
    }
    return rooms;
}

void vm_manager::reserve(const std::string &vm, bool reserved)
{
    const vm_entry *const entry = find(vm);
    executor_entry *const executor =
        entry ? m_scheduler.executors().find(entry->executor) : nullptr;
    if (executor)
        executor->reservedForMaintenance = reserved;
}

void vm_manager::maintain(const std::string &vm, std::int64_t wave)
{
    const vm_entry *const entry = find(vm);
    if (!entry || m_orders.contains(vm))
        return;
    reserve(vm, true);
    const bool mayBeRepeated =
        m_inheritedWaves.contains(wave) || m_unansweredMaintenance.contains(vm);
    m_orders[vm] = {entry->pool, entry->executor, boot_clock::now(), false, wave, mayBeRepeated};
    m_progress[wave].inMaintenance.insert(vm);
    logEvent(event::vm_maintenance_ordered, {{"target", vm}, {"wave", wave}});
    m_service.maintain(vm, wave, sendPermission(),
                       [this, vm, alive = std::weak_ptr<bool>{m_alive}](vm_order_outcome outcome) {
                           if (!alive.expired())
                               handleOrderOutcome(vm, outcome);
                       });
}

/** An order may wait for its connection until another daemon is the owner. */
vm_service::send_permission vm_manager::sendPermission() const
{
    return [this, alive = std::weak_ptr<bool>{m_alive}] {
        return !alive.expired() && m_mayOrder();
    };
}

void vm_manager::move(const std::string &vm, const std::string &pool)
{
    const vm_entry *const entry = find(vm);
    if (!entry || m_orders.contains(vm))
        return;
    reserve(vm, true);
    m_orders[vm] = {pool, entry->executor, boot_clock::now(), false, 0, false};
    logEvent(event::vm_move_ordered, {{"target", vm}, {"from", entry->pool}, {"pool", pool}});
    m_service.move(vm, pool, sendPermission(),
                   [this, vm, alive = std::weak_ptr<bool>{m_alive}](vm_order_outcome outcome) {
                       if (!alive.expired())
                           handleOrderOutcome(vm, outcome);
                   });
}

void vm_manager::handleOrderOutcome(const std::string &vm, vm_order_outcome outcome)
{
    const auto found = m_orders.find(vm);
    if (found == m_orders.end())
        return;
    pending_order &order = found->second;
    if (outcome == vm_order_outcome::done) {
        order.answered = true;
        if (order.wave != 0)
            m_progress[order.wave].finished.insert(vm);
        if (!order.mayBeRepeated)
            m_scheduler.endExecutor(order.executor, boot_clock::now());
        return;
    }
    logEvent(event::vm_order_failed, {{"target", vm}, {"wave", order.wave}});
    if (outcome == vm_order_outcome::unknown)
        return;
    if (outcome == vm_order_outcome::fenced) {
        m_onLost("a newer owner has given an order for a VM");
        return;
    }
    wave_progress &progress = m_progress[order.wave];
    progress.inMaintenance.erase(vm);
    if (outcome == vm_order_outcome::refused && order.wave != 0)
        m_refusedMaintenance[vm] = boot_clock::now() + refusalBackoff;
    else if (outcome == vm_order_outcome::refused)
        m_refusedMoves.insert(moveKey(vm, order.pool));
    reserve(vm, false);
    m_orders.erase(found);
}

} // namespace azurelb
