#pragma once

#include <azurelb/config/document_revisions.hpp>
#include <azurelb/core/fwd.hpp>

#include <optional>

namespace azurelb {

/** State of a peer's documents as reported in a heartbeat. */
struct peer_report
{
    /** Local time before which the peer cannot have written the report. */
    time_point writtenAfter{};
    document_revisions held{};
    /** True if the peer has caught up since its start and counts in majorities. */
    bool caughtUp{};
    /** Age of the peer's confirmation when it wrote the report; empty if it has none. */
    std::optional<std::chrono::milliseconds> confirmationAge{};
    /** Number of VM names known to the peer, its own included. */
    std::size_t knownMembers{};
};

} // namespace azurelb
