#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/strategies.hpp>
#include <azurelb/wire/config.pb.h>

#include <algorithm>

namespace azurelb {

std::uint32_t wantedSize(const fleet_draft &draft, const wire::pool &pool)
{
    const auto &sizes = draft.document().sizes();
    const auto found = std::find_if(sizes.begin(), sizes.end(), [&pool](const auto &size) {
        return size.pool() == pool.name();
    });
    const std::uint32_t wanted = found == sizes.end() ? 0 : found->wanted_vms();
    const std::uint32_t most = std::max(pool.minimum_vms(), pool.maximum_vms());
    return std::clamp(wanted, pool.minimum_vms(), most);
}

void sizePools(fleet_draft &draft)
{
    for (const wire::pool &pool : draft.input().config.pools()) {
        if (pool.spare())
            continue;
        while (true) {
            const pool_count &count = draft.counts().find(pool.name());
            const bool isShort = count.available + count.probing < pool.minimum_vms();
            if (!isShort || !takeSpare(draft, pool.name(), "the pool is below its minimum"))
                break;
        }
    }
}

} // namespace azurelb
