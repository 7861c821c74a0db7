#include <azurelb/capacity/pool_planner.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace azurelb {

namespace {

struct pool_balance
{
    const planned_pool *pool{nullptr};
    std::size_t needed{0};
    std::size_t present{0};

    [[nodiscard]] std::size_t missing() const noexcept
    {
        return needed > present ? needed - present : 0;
    }
    [[nodiscard]] std::size_t spare() const noexcept
    {
        return present > needed ? present - needed : 0;
    }
};

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

} // namespace

std::size_t vmsNeeded(const pool_load &load, const resources &vmCapacity,
                      const pool_planner_options &options)
{
    const auto need = [&](std::int64_t shortRuns, std::int64_t longRuns, std::int64_t capacity) {
        return ratioUp(static_cast<double>(shortRuns) * options.demandFactor
                           + static_cast<double>(longRuns),
                       capacity);
    };
    constexpr double millisPerCore{1000};
    const std::size_t expected = ratioUp(load.expectedCores * millisPerCore * options.expectedFactor
                                             + static_cast<double>(load.lasting.cpu),
                                         vmCapacity.cpu);
    return std::max(
        {options.leastVms, load.spread, expected,
         need(load.demand.cpu, load.lasting.cpu, vmCapacity.cpu),
         need(load.demand.memory, load.lasting.memory, vmCapacity.memory),
         need(load.demand.accelerators, load.lasting.accelerators, vmCapacity.accelerators)});
}

std::vector<vm_move> planMoves(const std::vector<planned_pool> &pools,
                               const std::vector<vm_view> &vms, boot_time now,
                               const pool_planner_options &options)
{
    const resources capacity = typicalCapacity(vms);
    std::unordered_map<std::string, pool_balance> balances;
    const planned_pool *standby = nullptr;
    for (const planned_pool &each : pools) {
        if (each.standby)
            standby = standby ? standby : &each;
        else
            balances[each.name] = {&each, vmsNeeded(each.load, capacity, options), each.arriving};
    }
    std::vector<const vm_view *> parked;
    std::vector<const vm_view *> idle;
    for (const vm_view &each : vms) {
        const auto balance = balances.find(each.pool);
        if (balance != balances.end()) {
            balance->second.present += counts(each) ? 1 : 0;
            if (mayLeave(each, now, options))
                idle.push_back(&each);
        } else if (standby && each.pool == standby->name && counts(each)) {
            parked.push_back(&each);
        }
    }
    // Those that have been idle longest leave first.
    std::sort(idle.begin(), idle.end(), [](const vm_view *left, const vm_view *right) {
        return left->idleSince < right->idleSince;
    });
    std::vector<vm_move> moves;
    const auto neediest = [&balances] {
        pool_balance *found = nullptr;
        for (auto &[name, each] : balances) {
            if (each.missing() > 0 && (!found || each.missing() > found->missing()))
                found = &each;
        }
        return found;
    };
    const auto send = [&moves](const vm_view &vm, pool_balance &to) {
        moves.push_back({vm.vm, to.pool->name});
        ++to.present;
    };
    for (const vm_view *const each : idle) {
        pool_balance &from = balances.at(each->pool);
        if (from.spare() == 0)
            continue;
        if (pool_balance *const to = neediest()) {
            send(*each, *to);
            --from.present;
        } else if (standby && now - each->idleSince >= options.parkTime) {
            moves.push_back({each->vm, standby->name});
            --from.present;
        }
    }
    for (const vm_view *const each : parked) {
        pool_balance *const to = neediest();
        if (!to)
            break;
        send(*each, *to);
    }
    return moves;
}

} // namespace azurelb
