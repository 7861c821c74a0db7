#include <azurelb/share/claim.hpp>

#include <algorithm>

namespace azurelb {

namespace {

[[nodiscard]] bool isOpen(const claim &each) noexcept
{
    return each.weight > 0 && each.given < each.most;
}

/** Gives all open claims what they can use at this level; true if one of them is satisfied. */
bool satisfy(std::span<claim> claims, double level, double &total)
{
    bool any = false;
    for (claim &each : claims) {
        if (!isOpen(each) || each.most > level * each.weight)
            continue;
        each.given = each.most;
        total -= each.most;
        any = true;
    }
    return any;
}

[[nodiscard]] double openWeight(std::span<const claim> claims)
{
    double sum = 0;
    for (const claim &each : claims)
        sum += isOpen(each) ? each.weight : 0;
    return sum;
}

} // namespace

void divide(std::span<claim> claims, double total)
{
    for (claim &each : claims)
        each.given = 0;
    for (double weight = openWeight(claims); weight > 0 && total > 0; weight = openWeight(claims)) {
        const double level = total / weight;
        if (satisfy(claims, level, total))
            continue;
        for (claim &each : claims)
            each.given = isOpen(each) ? level * each.weight : each.given;
        return;
    }
}

} // namespace azurelb
