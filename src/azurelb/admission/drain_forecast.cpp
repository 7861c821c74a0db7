#include <azurelb/admission/drain_forecast.hpp>

#include <algorithm>

namespace azurelb {

using std::chrono::milliseconds;

pool_forecast predictDrain(const pool_room &room)
{
    const double limit = static_cast<double>(maxDrainTime.count());
    const double delay = static_cast<double>(room.arrivalDelay.count());
    const double doneBefore = room.cores * delay;
    double drain = 0;
    if (room.remainingCoreMs <= doneBefore)
        drain = room.cores > 0 ? room.remainingCoreMs / room.cores : 0;
    else if (const double later = room.cores + room.arrivingCores; later > 0)
        drain = delay + (room.remainingCoreMs - doneBefore) / later;
    else
        drain = limit;
    drain = std::min(drain, limit);
    const double cores = drain > 0 ? room.remainingCoreMs / drain : room.cores;
    return {room.pool, milliseconds{static_cast<std::int64_t>(drain)}, cores, 1};
}

} // namespace azurelb
