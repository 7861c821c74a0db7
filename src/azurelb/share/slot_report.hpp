#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/share/fwd.hpp>

#include <vector>

namespace azurelb {

/** Load of one team at one daemon in one pool. */
struct team_load
{
    team_name team{};
    /** Waiting requests that hold a right to run. */
    std::uint32_t backed{};
    /** All waiting requests. */
    std::uint32_t waiting{};
    std::uint32_t running{};
    /** Slot time used since the daemon started, including running requests. */
    std::chrono::microseconds used{};
};

/** A slot that a daemon holds. */
struct held_slot
{
    slot_id id{};
    vm_id vm{};
    bool isBusy{};
};

/** Outcomes of attempts at one upstream since the daemon started. */
struct outcome_count
{
    vm_id vm{};
    std::uint64_t answered{};
    std::uint64_t failed{};
    std::uint64_t refused{};
};

/**
 * State of one daemon in one pool, sent to the pool's dispatcher. Each report replaces the earlier
 * ones, so that lost, repeated or late reports do no harm.
 */
struct slot_report
{
    /** Increases each time the daemon changes to another dispatcher. */
    std::uint64_t term{};
    /** Increases with each report. */
    std::uint64_t sequence{};
    /** Sequence of the newest assignment that the daemon has applied in this term; 0 if none. */
    std::uint64_t acknowledged{};
    /** Send time on the sender's clock. */
    std::chrono::microseconds sentAt{};
    /** The sender retransmits until a report is acknowledged. */
    bool isReplyWanted{};
    /** Upstreams that a waiting request avoids; set if the daemon holds no suitable slot. */
    std::vector<vm_id> avoid{};
    /** Loads of the teams that have had a request at the daemon. */
    std::vector<team_load> teams{};
    std::vector<held_slot> slots{};
    /** Only upstreams whose outcomes have not been acknowledged yet. */
    std::vector<outcome_count> outcomes{};
};

} // namespace azurelb
