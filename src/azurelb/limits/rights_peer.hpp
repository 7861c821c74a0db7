#pragma once

#include <azurelb/limits/document_inputs.hpp>

#include <optional>
#include <set>

namespace azurelb {

/** What one daemon knows of another, and what it last sent there. */
struct rights_peer
{
    /** Newest revision of the rights document that the peer said it knows. */
    revision documentRevision{};
    /** Daemons that the peer knows and its document does not list. */
    std::set<member> unregistered{};
    net_transfers statements{};
    /** Since when there is no recent heartbeat. */
    std::optional<time_point> silentSince{};
    std::optional<time_point> goneSince{};
    /** Since when every other holder has stated its exchanges with this one, which is gone. */
    std::optional<time_point> statedByAllSince{};
    /** Nonce to return with the next message; 0 if none. */
    std::uint64_t echoDue{};
    /** Teams whose received number is to be acknowledged. */
    std::set<team_name> acknowledgeDue{};
    time_point helloSent{};
    time_point documentSent{};
    time_point givenSent{};
};

} // namespace azurelb
