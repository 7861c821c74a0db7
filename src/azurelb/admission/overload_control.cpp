#include <azurelb/admission/overload_control.hpp>

#include <algorithm>

namespace azurelb {

using std::chrono::milliseconds;

double overload_control::fractionOf(const pool_room &room, double acceptedCores,
                                    const pool_forecast &predicted)
{
    const auto last = m_fractions.find(room.pool);
    const double lastFraction = last == m_fractions.end() ? 1.0 : last->second;
    const double offered = acceptedCores / lastFraction;
    const double capacity = room.cores + room.arrivingCores;
    if (offered <= 0 || capacity <= 0)
        return capacity > 0 ? 1.0 : m_options.minFraction;
    const double growth =
        std::max(offered / capacity - 1, 0.0) * static_cast<double>(m_options.horizon.count());
    const double drainAhead = static_cast<double>(predicted.drain.count()) + growth;
    if (drainAhead <= static_cast<double>(m_options.maxDrain.count()))
        return 1.0;
    return std::clamp(m_options.surplus * capacity / offered, m_options.minFraction, 1.0);
}

std::vector<pool_forecast> overload_control::update(const std::vector<pool_room> &rooms,
                                                    boot_time now)
{
    const milliseconds time = std::max(now - m_updatedAt, milliseconds{1});
    m_updatedAt = now;
    std::vector<pool_forecast> listed;
    std::map<std::string, double> fractions;
    for (const pool_room &each : rooms) {
        const double acceptedCores = m_accepted[each.pool] / static_cast<double>(time.count());
        pool_forecast predicted = predictDrain(each);
        predicted.admitted = fractionOf(each, acceptedCores, predicted);
        if (predicted.admitted < 1)
            fractions[each.pool] = predicted.admitted;
        if (predicted.drain >= m_options.minListedDrain)
            listed.push_back(std::move(predicted));
    }
    m_fractions = std::move(fractions);
    m_accepted.clear();
    return listed;
}

} // namespace azurelb
