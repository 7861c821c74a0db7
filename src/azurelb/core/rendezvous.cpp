#include <azurelb/core/rendezvous.hpp>

#include <xxhash.h>

namespace azurelb {

const vm_id *rendezvousOwner(std::span<const vm_id> members, std::string_view key) noexcept
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    const vm_id *owner = nullptr;
    XXH64_hash_t best = 0;
    for (const vm_id &member : members) {
        const std::string &id = member.value();
        const XXH64_hash_t weight = XXH3_64bits_withSeed(id.data(), id.size(), seed);
        const bool wins = !owner || weight > best || (weight == best && member < *owner);
        if (wins) {
            owner = &member;
            best = weight;
        }
    }
    return owner;
}

} // namespace azurelb
