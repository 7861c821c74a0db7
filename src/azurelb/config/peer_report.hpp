#pragma once

#include <azurelb/config/document_revisions.hpp>
#include <azurelb/core/fwd.hpp>

#include <optional>

namespace azurelb {

/** What a peer's heartbeat tells of its documents. */
struct peer_report
{
    /** Local time before which the peer cannot have written the report. */
    time_point writtenAfter{};
    document_revisions held{};
    /** The peer counts in a majority. */
    bool caughtUp{};
    /** Age of the peer's confirmation when it wrote the report; nothing if it has none. */
    std::optional<std::chrono::milliseconds> confirmationAge{};
    /** VM names of daemons that the peer has heard of, its own included. */
    std::size_t knownMembers{};
};

} // namespace azurelb
