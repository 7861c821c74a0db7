#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/core/identifier.hpp>

#include <span>
#include <string_view>

namespace azurelb {

/**
 * The member that owns a key by rendezvous hashing (Thaler and Ravishankar, 1998): every caller
 * with the same members gets the same owner, and a member that leaves moves only its own keys.
 * Null if there are no members; the order of the members does not matter.
 */
[[nodiscard]] const vm_id *rendezvousOwner(std::span<const vm_id> members,
                                           std::string_view key) noexcept;

} // namespace azurelb
