#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/share/fwd.hpp>

#include <vector>

namespace azurelb {

/** A slot on which a daemon may start requests, one at a time. */
struct assigned_slot
{
    slot_id id{};
    vm_id vm{};
};

/** Part of a daemon's slots that a team gets, in slots. */
struct team_weight
{
    team_name team{};
    double weight{};
};

/** Relative part of the capacity that a team gets while all slots are in use. */
struct team_share
{
    team_name team{};
    std::uint32_t share{};
};

/**
 * Slots of one pool that a daemon may use. Each assignment replaces the earlier ones. A slot that
 * is no longer listed is recalled: the daemon returns it when the running request has ended.
 */
struct slot_assignment
{
    /** Term of the report that this answers. */
    std::uint64_t term{};
    /** Increases with each assignment, also across the dispatchers of one process. */
    std::uint64_t sequence{};
    /** Sequence and send time of the newest report that the dispatcher has received. */
    std::uint64_t acknowledged{};
    std::chrono::microseconds reportSentAt{};
    /** Requests a report only; slots and weights are not set. */
    bool isQuery{};
    /** Demand exceeds the capacity; the daemon returns idle slots that it does not need. */
    bool isContended{};
    std::vector<assigned_slot> slots{};
    std::vector<team_weight> weights{};
};

/** An assignment and the daemon that receives it. */
struct addressed_assignment
{
    member to{};
    slot_assignment assignment{};
};

} // namespace azurelb
