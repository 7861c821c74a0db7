#include <azurelb/limits/rights_balance.hpp>

#include <algorithm>
#include <numeric>

namespace azurelb {

namespace {

/** A loaded holder keeps a slack of its target divided by this, and at least one right. */
constexpr right_count slackDivisor{16};

struct holder_count
{
    member holder;
    right_count count;
};

right_count sumOf(std::span<const holder_count> sides)
{
    const auto add = [](right_count sum, const holder_count &each) {
        return sum + each.count;
    };
    return std::accumulate(sides.begin(), sides.end(), right_count{}, add);
}

/** Scales the counts down to the total, in proportion and without rounding loss. */
void scaleTo(std::vector<holder_count> &sides, right_count total)
{
    const right_count sum = sumOf(sides);
    if (sum <= total)
        return;
    right_count counted = 0;
    right_count granted = 0;
    for (holder_count &each : sides) {
        counted += each.count;
        const right_count upTo = total * counted / sum;
        each.count = upTo - granted;
        granted = upTo;
    }
}

/** Grants one right to each loaded holder, starting at the rotation. Returns the rest. */
right_count grantOneEach(const balance_request &request, right_count rights,
                         std::vector<right_count> &targets)
{
    const std::size_t size = request.reports.size();
    for (std::size_t step = 0; step < size && rights > 0; ++step) {
        const std::size_t index = (request.rotation + step) % size;
        if (request.reports[index].load == 0)
            continue;
        targets[index] = 1;
        --rights;
    }
    return rights;
}

void grantByLoad(const balance_request &request, right_count rights, right_count load,
                 std::vector<right_count> &targets)
{
    right_count counted = 0;
    right_count granted = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        counted += std::max<right_count>(0, request.reports[index].load - 1);
        const right_count upTo = rights * counted / load;
        targets[index] += upTo - granted;
        granted = upTo;
    }
}

/** True if a holder with a target has no rights. */
bool isAnyStarved(const balance_request &request, const std::vector<right_count> &targets)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (targets[index] > 0 && request.reports[index].holdings == 0)
            return true;
    }
    return false;
}

/** Returns the rights that a holder can give; without slack if `isStrict`. */
right_count surplusOf(const holder_report &report, right_count target, bool isIdleOnly,
                      bool isStrict)
{
    if (isStrict)
        return report.holdings - target;
    const right_count kept = isIdleOnly ? std::max(target, report.load) : target;
    const right_count surplus = report.holdings - kept;
    const right_count slack = std::max<right_count>(1, target / slackDivisor);
    return report.load > 0 && surplus <= slack ? 0 : surplus;
}

std::vector<rights_transfer> matchTransfers(std::vector<holder_count> givers,
                                            std::vector<holder_count> takers)
{
    std::vector<rights_transfer> transfers;
    auto giver = givers.begin();
    for (holder_count &taker : takers) {
        while (taker.count > 0 && giver != givers.end()) {
            const right_count count = std::min(taker.count, giver->count);
            if (count > 0)
                transfers.push_back({giver->holder, taker.holder, count});
            taker.count -= count;
            giver->count -= count;
            if (giver->count == 0)
                ++giver;
        }
    }
    return transfers;
}

} // namespace

std::vector<right_count> targetHoldings(const balance_request &request)
{
    right_count rights = -request.excess;
    right_count load = 0;
    right_count loaded = 0;
    std::vector<right_count> targets;
    for (const holder_report &report : request.reports) {
        rights += report.holdings;
        load += report.load;
        loaded += report.load > 0 ? 1 : 0;
        targets.push_back(report.load);
    }
    if (load <= rights)
        return targets;
    std::fill(targets.begin(), targets.end(), 0);
    const right_count rest = grantOneEach(request, std::max<right_count>(0, rights), targets);
    if (rest > 0)
        grantByLoad(request, rest, load - loaded, targets);
    return targets;
}

std::vector<rights_transfer> balanceRights(const balance_request &request)
{
    const std::vector<right_count> targets = targetHoldings(request);
    const bool isStrict = request.excess > 0 || isAnyStarved(request, targets);
    std::vector<holder_count> givers;
    std::vector<holder_count> takers;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const holder_report &report = request.reports[index];
        const bool collects = report.holder == request.collector;
        const right_count target = targets[index] + (collects ? request.excess : 0);
        const right_count surplus = surplusOf(report, target, request.isIdleOnly, isStrict);
        if (surplus > 0)
            givers.push_back({report.holder, surplus});
        if (report.holdings < target)
            takers.push_back({report.holder, target - report.holdings});
    }
    const right_count moved = std::min(sumOf(givers), sumOf(takers));
    scaleTo(givers, moved);
    scaleTo(takers, moved);
    return matchTransfers(std::move(givers), std::move(takers));
}

} // namespace azurelb
