#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/core/identifier.hpp>

#include <span>
#include <string_view>

namespace azurelb {

/**
 * Returns the member that owns a key by rendezvous hashing (Thaler and Ravishankar, 1998): every
 * caller with the same members gets the same owner, and when a member leaves, only its keys get a
 * new one. Null if there are no members; the order of the members does not matter.
 */
[[nodiscard]] const vm_id *rendezvousOwner(std::span<const vm_id> members,
                                           std::string_view key) noexcept;

} // namespace azurelb
