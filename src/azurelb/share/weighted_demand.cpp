#include <azurelb/share/weighted_demand.hpp>

#include <algorithm>

namespace azurelb {

namespace {

[[nodiscard]] bool isUnsatisfied(const weighted_demand &each) noexcept
{
    return each.weight > 0 && each.allocated < each.demand;
}

/**
 * Allocates in full each unsatisfied demand of at most `level` per unit of weight and subtracts
 * it from the total. Returns true if there was one.
 */
bool satisfyDemands(std::span<weighted_demand> demands, double level, double &total)
{
    bool anySatisfied = false;
    for (weighted_demand &each : demands) {
        if (!isUnsatisfied(each) || each.demand > level * each.weight)
            continue;
        each.allocated = each.demand;
        total -= each.demand;
        anySatisfied = true;
    }
    return anySatisfied;
}

[[nodiscard]] double unsatisfiedWeight(std::span<const weighted_demand> demands)
{
    double sum = 0;
    for (const weighted_demand &each : demands)
        sum += isUnsatisfied(each) ? each.weight : 0;
    return sum;
}

} // namespace

void allocateMaxMinFair(std::span<weighted_demand> demands, double total)
{
    for (weighted_demand &each : demands)
        each.allocated = 0;
    for (double weight = unsatisfiedWeight(demands); weight > 0 && total > 0;
         weight = unsatisfiedWeight(demands))
    {
        const double level = total / weight;
        if (satisfyDemands(demands, level, total))
            continue;
        for (weighted_demand &each : demands)
            each.allocated = isUnsatisfied(each) ? level * each.weight : each.allocated;
        return;
    }
}

} // namespace azurelb
