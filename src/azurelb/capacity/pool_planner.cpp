#include <azurelb/capacity/pool_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace azurelb {

namespace {

/** Numbers of VMs that a pool has and needs. */
struct pool_balance
{
    const planned_pool *pool{nullptr};
    /** Needed without the backlog, most of which is late by the time that a VM arrives. */
    std::size_t forArrivals{0};
    std::size_t needed{0};
    /** Needed, or kept ready between bursts, whichever is more. */
    std::size_t target{0};
    /** Usable or arriving. */
    std::size_t present{0};
};

std::size_t excess(std::size_t present, std::size_t bound) noexcept
{
    return present > bound ? present - bound : 0;
}

std::size_t ceilRatio(double demand, std::int64_t capacity)
{
    if (capacity <= 0 || demand <= 0)
        return 0;
    return static_cast<std::size_t>(std::ceil(demand / static_cast<double>(capacity)));
}

bool isUsable(const vm_view &vm)
{
    return vm.up && !vm.excluded && !vm.hasPendingOrder && !vm.reserved;
}

bool isReassignable(const vm_view &vm, boot_time now, const pool_planner_options &options)
{
    return isUsable(vm) && vm.isEmpty() && now - vm.idleSince >= options.reassignIdleTime;
}

/** Collects the moves of one plan. Of the idle VMs, those that are idle longest move first. */
class move_plan_builder
{
public:
    move_plan_builder(const std::vector<planned_pool> &pools, const std::vector<vm_view> &vms,
                      boot_time now, const pool_planner_options &options);

    /** Fills pools below their goal with idle VMs of pools that are above their floor. */
    void fillFromIdle(std::size_t pool_balance::*goal, std::size_t pool_balance::*floor);
    void fillFromStandby(std::size_t pool_balance::*goal);
    /** Moves surplus VMs that have been idle for standbyIdleTime to the standby pool. */
    void moveToStandby();

    [[nodiscard]] std::vector<vm_move> take() { return std::move(m_moves); }

private:
    [[nodiscard]] pool_balance *findLargestDeficit(std::size_t pool_balance::*goal);
    void addMove(const vm_view &vm, pool_balance &to);

    boot_time m_now;
    pool_planner_options m_options;
    std::map<std::string, pool_balance> m_balances{};
    const planned_pool *m_standby{nullptr};
    std::vector<const vm_view *> m_standbyVms{};
    std::vector<const vm_view *> m_idleVms{};
    std::vector<vm_move> m_moves{};
};

move_plan_builder::move_plan_builder(const std::vector<planned_pool> &pools,
                                     const std::vector<vm_view> &vms, boot_time now,
                                     const pool_planner_options &options)
    : m_now{now}
    , m_options{options}
{
    const resources capacity = averageCapacity(vms);
    const auto active = std::count_if(pools.begin(), pools.end(),
                                      [](const planned_pool &each) { return !each.standby; });
    const auto ready = active == 0
        ? std::size_t{0}
        : static_cast<std::size_t>(static_cast<double>(vms.size()) * options.readyShare
                                   / static_cast<double>(active));
    for (const planned_pool &each : pools) {
        if (each.standby) {
            m_standby = m_standby ? m_standby : &each;
            continue;
        }
        pool_load load = each.load;
        // A step that all VMs together can't hold is no reason to move any of them.
        if (load.minDistinctExecutors > vms.size())
            load.minDistinctExecutors = 0;
        const std::size_t needed = vmsNeeded(load, capacity, options);
        pool_load arrivals = load;
        arrivals.demand = {};
        arrivals.lateDemand = {};
        m_balances[each.name] = {&each, vmsNeeded(arrivals, capacity, options), needed,
                                 std::max(needed, ready), each.arrivingVms};
    }
    for (const vm_view &each : vms) {
        const auto balance = m_balances.find(each.pool);
        if (balance != m_balances.end()) {
            balance->second.present += isUsable(each) ? 1 : 0;
            if (isReassignable(each, now, options))
                m_idleVms.push_back(&each);
        } else if (m_standby && each.pool == m_standby->name && isUsable(each)) {
            m_standbyVms.push_back(&each);
        }
    }
    std::sort(m_idleVms.begin(), m_idleVms.end(), [](const vm_view *left, const vm_view *right) {
        return left->idleSince < right->idleSince;
    });
}

pool_balance *move_plan_builder::findLargestDeficit(std::size_t pool_balance::*goal)
{
    pool_balance *found = nullptr;
    for (auto &[name, each] : m_balances) {
        const std::size_t missing = excess(each.*goal, each.present);
        if (missing > 0 && (!found || missing > excess(found->*goal, found->present)))
            found = &each;
    }
    return found;
}

void move_plan_builder::addMove(const vm_view &vm, pool_balance &to)
{
    m_moves.push_back({vm.vm, to.pool->name});
    ++to.present;
}

void move_plan_builder::fillFromIdle(std::size_t pool_balance::*goal,
                                     std::size_t pool_balance::*floor)
{
    std::erase_if(m_idleVms, [&](const vm_view *each) {
        pool_balance &from = m_balances.at(each->pool);
        if (excess(from.present, from.*floor) == 0)
            return false;
        pool_balance *const to = findLargestDeficit(goal);
        if (!to || to == &from)
            return false;
        addMove(*each, *to);
        --from.present;
        return true;
    });
}

void move_plan_builder::fillFromStandby(std::size_t pool_balance::*goal)
{
    while (!m_standbyVms.empty()) {
        pool_balance *const to = findLargestDeficit(goal);
        if (!to)
            return;
        addMove(*m_standbyVms.back(), *to);
        m_standbyVms.pop_back();
    }
}

void move_plan_builder::moveToStandby()
{
    std::size_t active = 0;
    for (const auto &[name, each] : m_balances)
        active += each.present;
    for (const vm_view *const each : m_idleVms) {
        pool_balance &from = m_balances.at(each->pool);
        const bool unused = m_now - each->idleSince >= m_options.standbyIdleTime;
        if (active <= m_options.minActiveVms)
            return;
        if (!m_standby || !unused || excess(from.present, from.target) == 0)
            continue;
        m_moves.push_back({each->vm, m_standby->name});
        --from.present;
        --active;
    }
}

} // namespace

resources averageCapacity(const std::vector<vm_view> &vms)
{
    resources sum;
    std::int64_t count = 0;
    for (const vm_view &each : vms) {
        sum += each.capacity;
        ++count;
    }
    if (count == 0)
        return sum;
    return {sum.cpu / count, sum.memory / count, sum.accelerators / count};
}

std::size_t vmsNeeded(const pool_load &load, const resources &vmCapacity,
                      const pool_planner_options &options)
{
    const auto need = [&](std::int64_t resources::*kind) {
        const auto late = static_cast<double>(load.lateDemand.*kind);
        const auto timely = static_cast<double>(load.demand.*kind) - late;
        return ceilRatio(timely * options.demandFactor + late * options.lateFactor
                             + static_cast<double>(load.longRunningDemand.*kind),
                         vmCapacity.*kind);
    };
    constexpr double millisPerCore{1000};
    const std::size_t expected =
        ceilRatio(load.expectedCores * millisPerCore * options.expectedFactor
                      + static_cast<double>(load.longRunningDemand.cpu),
                  vmCapacity.cpu);
    return std::max({options.minVms, load.minDistinctExecutors, expected, need(&resources::cpu),
                     need(&resources::memory), need(&resources::accelerators)});
}

std::size_t vmsOfBurst(const std::vector<planned_pool> &pools, const resources &vmCapacity,
                       double burstCores, const pool_planner_options &options)
{
    pool_load burst;
    burst.expectedCores = burstCores;
    std::size_t count = vmsNeeded(burst, vmCapacity, options);
    for (const planned_pool &each : pools) {
        pool_load lasting;
        lasting.longRunningDemand = each.load.longRunningDemand;
        lasting.minDistinctExecutors = each.load.minDistinctExecutors;
        count += each.standby ? 0 : vmsNeeded(lasting, vmCapacity, options);
    }
    return count;
}

std::vector<vm_move> planMoves(const std::vector<planned_pool> &pools,
                               const std::vector<vm_view> &vms, boot_time now,
                               const pool_planner_options &options)
{
    move_plan_builder builder{pools, vms, now, options};
    builder.fillFromIdle(&pool_balance::needed, &pool_balance::target);
    builder.fillFromStandby(&pool_balance::needed);
    builder.fillFromIdle(&pool_balance::forArrivals, &pool_balance::needed);
    builder.fillFromIdle(&pool_balance::target, &pool_balance::target);
    builder.fillFromStandby(&pool_balance::target);
    builder.moveToStandby();
    return builder.take();
}

} // namespace azurelb
