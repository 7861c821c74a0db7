#include <azurelb/capacity/pool_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace azurelb {

namespace {

/** How many VMs a pool has, must have, and should have ready between its turns. */
struct pool_balance
{
    const planned_pool *pool{nullptr};
    /** Without the backlog, most of which is late by the time a VM has come. */
    std::size_t urgent{0};
    std::size_t needed{0};
    std::size_t wanted{0};
    std::size_t present{0};
};

std::size_t above(std::size_t present, std::size_t bound) noexcept
{
    return present > bound ? present - bound : 0;
}

std::size_t ratioUp(double demand, std::int64_t capacity)
{
    if (capacity <= 0 || demand <= 0)
        return 0;
    return static_cast<std::size_t>(std::ceil(demand / static_cast<double>(capacity)));
}

bool counts(const vm_view &vm)
{
    return vm.up && !vm.excluded && !vm.ordered && !vm.reserved;
}

bool mayLeave(const vm_view &vm, boot_time now, const pool_planner_options &options)
{
    return counts(vm) && vm.isEmpty() && now - vm.idleSince >= options.idleTime;
}

resources typicalCapacity(const std::vector<vm_view> &vms)
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

/** Moves of one plan. VMs that leave are taken in the order in which they became idle. */
class move_draft
{
public:
    move_draft(const std::vector<planned_pool> &pools, const std::vector<vm_view> &vms,
               boot_time now, const pool_planner_options &options);

    /** Fills up what the pools lack from VMs that their pool can spare. */
    void fill(std::size_t pool_balance::*lacked, std::size_t pool_balance::*kept);
    void fillFromStandby(std::size_t pool_balance::*lacked);
    /** Parks what no pool wants. */
    void park();

    [[nodiscard]] std::vector<vm_move> take() { return std::move(m_moves); }

private:
    [[nodiscard]] pool_balance *neediest(std::size_t pool_balance::*lacked);
    void send(const vm_view &vm, pool_balance &to);

    boot_time m_now;
    pool_planner_options m_options;
    std::map<std::string, pool_balance> m_balances{};
    const planned_pool *m_standby{nullptr};
    std::vector<const vm_view *> m_parked{};
    std::vector<const vm_view *> m_idle{};
    std::vector<vm_move> m_moves{};
};

move_draft::move_draft(const std::vector<planned_pool> &pools, const std::vector<vm_view> &vms,
                       boot_time now, const pool_planner_options &options)
    : m_now{now}
    , m_options{options}
{
    const resources capacity = typicalCapacity(vms);
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
        const std::size_t needed = vmsNeeded(each.load, capacity, options);
        pool_load arrivals = each.load;
        arrivals.demand = {};
        arrivals.lateDemand = {};
        m_balances[each.name] = {&each, vmsNeeded(arrivals, capacity, options), needed,
                                 std::max(needed, ready), each.arriving};
    }
    for (const vm_view &each : vms) {
        const auto balance = m_balances.find(each.pool);
        if (balance != m_balances.end()) {
            balance->second.present += counts(each) ? 1 : 0;
            if (mayLeave(each, now, options))
                m_idle.push_back(&each);
        } else if (m_standby && each.pool == m_standby->name && counts(each)) {
            m_parked.push_back(&each);
        }
    }
    std::sort(m_idle.begin(), m_idle.end(), [](const vm_view *left, const vm_view *right) {
        return left->idleSince < right->idleSince;
    });
}

pool_balance *move_draft::neediest(std::size_t pool_balance::*lacked)
{
    pool_balance *found = nullptr;
    for (auto &[name, each] : m_balances) {
        const std::size_t missing = above(each.*lacked, each.present);
        if (missing > 0 && (!found || missing > above(found->*lacked, found->present)))
            found = &each;
    }
    return found;
}

void move_draft::send(const vm_view &vm, pool_balance &to)
{
    m_moves.push_back({vm.vm, to.pool->name});
    ++to.present;
}

void move_draft::fill(std::size_t pool_balance::*lacked, std::size_t pool_balance::*kept)
{
    std::erase_if(m_idle, [&](const vm_view *each) {
        pool_balance &from = m_balances.at(each->pool);
        if (above(from.present, from.*kept) == 0)
            return false;
        pool_balance *const to = neediest(lacked);
        if (!to || to == &from)
            return false;
        send(*each, *to);
        --from.present;
        return true;
    });
}

void move_draft::fillFromStandby(std::size_t pool_balance::*lacked)
{
    while (!m_parked.empty()) {
        pool_balance *const to = neediest(lacked);
        if (!to)
            return;
        send(*m_parked.back(), *to);
        m_parked.pop_back();
    }
}

void move_draft::park()
{
    for (const vm_view *const each : m_idle) {
        pool_balance &from = m_balances.at(each->pool);
        const bool unused = m_now - each->idleSince >= m_options.parkTime;
        if (!m_standby || !unused || above(from.present, from.wanted) == 0)
            continue;
        m_moves.push_back({each->vm, m_standby->name});
        --from.present;
    }
}

} // namespace

std::size_t vmsNeeded(const pool_load &load, const resources &vmCapacity,
                      const pool_planner_options &options)
{
    const auto need = [&](std::int64_t resources::*kind) {
        const auto late = static_cast<double>(load.lateDemand.*kind);
        const auto timely = static_cast<double>(load.demand.*kind) - late;
        return ratioUp(timely * options.demandFactor + late * options.lateFactor
                           + static_cast<double>(load.longRunningDemand.*kind),
                       vmCapacity.*kind);
    };
    constexpr double millisPerCore{1000};
    const std::size_t expected = ratioUp(load.expectedCores * millisPerCore * options.expectedFactor
                                             + static_cast<double>(load.longRunningDemand.cpu),
                                         vmCapacity.cpu);
    return std::max({options.leastVms, load.minDistinctExecutors, expected, need(&resources::cpu),
                     need(&resources::memory), need(&resources::accelerators)});
}

std::vector<vm_move> planMoves(const std::vector<planned_pool> &pools,
                               const std::vector<vm_view> &vms, boot_time now,
                               const pool_planner_options &options)
{
    move_draft draft{pools, vms, now, options};
    draft.fill(&pool_balance::needed, &pool_balance::wanted);
    draft.fillFromStandby(&pool_balance::needed);
    draft.fill(&pool_balance::urgent, &pool_balance::needed);
    draft.fill(&pool_balance::wanted, &pool_balance::wanted);
    draft.fillFromStandby(&pool_balance::wanted);
    draft.park();
    return draft.take();
}

} // namespace azurelb
