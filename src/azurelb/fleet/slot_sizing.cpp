#include <azurelb/fleet/slot_sizing.hpp>

#include <algorithm>
#include <cmath>

namespace azurelb {

double erlangC(std::uint32_t slots, double load) noexcept
{
    if (load >= slots)
        return 1.0;
    double blocking = 1.0;
    for (std::uint32_t slot = 1; slot <= slots; ++slot)
        blocking = load * blocking / (slot + load * blocking);
    return blocking / (1.0 - load / slots * (1.0 - blocking));
}

std::uint32_t requiredSlots(double load, std::chrono::milliseconds runTime,
                            std::chrono::milliseconds wait, std::uint32_t percentile) noexcept
{
    const double allowed = 1.0 - std::clamp(percentile, 1U, 99U) / 100.0;
    const double waitInRuns = static_cast<double>(wait.count())
        / static_cast<double>(std::max<std::int64_t>(runTime.count(), 1));
    auto slots = static_cast<std::uint32_t>(std::floor(load)) + 1;
    while (erlangC(slots, load) * std::exp(-(slots - load) * waitInRuns) > allowed)
        ++slots;
    return slots;
}

} // namespace azurelb
