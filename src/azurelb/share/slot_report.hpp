#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/share/fwd.hpp>

#include <vector>

namespace azurelb {

/** What one team does at one daemon in one pool. */
struct team_load
{
    team_name team{};
    /** Waiting requests that hold a right to run. */
    std::uint32_t backed{};
    /** All waiting requests. */
    std::uint32_t waiting{};
    std::uint32_t running{};
    /** Slot time used since the daemon started, including that of running requests. */
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
 * State of one daemon in one pool, as its dispatcher is told. Each report replaces the earlier
 * ones, so that a lost, repeated or late one does no harm.
 */
struct slot_report
{
    /** Grows each time the daemon turns to another dispatcher. */
    std::uint64_t term{};
    /** Grows with each report. */
    std::uint64_t sequence{};
    /** Sequence of the newest assignment that the daemon has applied in this term; 0 if none. */
    std::uint64_t acknowledged{};
    /** Sender's clock at the sending. */
    std::chrono::microseconds sentAt{};
    /** The sender repeats the report unless it is acknowledged soon. */
    bool isReplyWanted{};
    /** Upstreams that a waiting request must not use, if no slot that the daemon holds suits it. */
    std::vector<vm_id> avoid{};
    /** Teams without load are missing. */
    std::vector<team_load> teams{};
    std::vector<held_slot> slots{};
    /** Only upstreams with outcomes that are not acknowledged yet. */
    std::vector<outcome_count> outcomes{};
};

} // namespace azurelb
