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

/** Part of a daemon's slots that a team gets there, in slots. */
struct team_weight
{
    team_name team{};
    double weight{};
};

/** Part of the capacity that a team gets when all is full, relative to other teams. */
struct team_share
{
    team_name team{};
    std::uint32_t share{};
};

/**
 * What a daemon may use in one pool. Each assignment replaces the earlier ones; a slot that is
 * missing is recalled: the daemon ends its use and returns it.
 */
struct slot_assignment
{
    /** The term of the report that it answers. */
    std::uint64_t term{};
    /** Grows with each assignment, also over the dispatchers of one process. */
    std::uint64_t sequence{};
    /** Sequence and time of sending of the newest report that the dispatcher has. */
    std::uint64_t acknowledged{};
    std::chrono::microseconds reportSentAt{};
    /** Only asks for a report; the slots and weights are not set. */
    bool isQuery{};
    /** Requests wait while all slots are in use; an idle slot is to be returned. */
    bool isContended{};
    std::vector<assigned_slot> slots{};
    std::vector<team_weight> weights{};
};

/** An assignment and the daemon that it is for. */
struct addressed_assignment
{
    member to{};
    slot_assignment assignment{};
};

} // namespace azurelb
