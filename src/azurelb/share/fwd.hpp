#pragma once

#include <cstdint>
#include <functional>

namespace azurelb {

/** Names a waiting request at the daemon that took it from its caller. */
enum class ticket_id : std::uint64_t {};

/** Names one use of an executor slot; unique over the fleet. */
enum class lease_id : std::uint64_t {};

struct slot_request;
struct slot_lease;
enum class slot_refusal;
struct slot_grant;
class slot_service;

using slot_handler = std::function<void(const slot_grant &)>;

} // namespace azurelb
