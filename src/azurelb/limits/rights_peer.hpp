#pragma once

#include <azurelb/limits/document_inputs.hpp>

#include <optional>
#include <set>

namespace azurelb {

/** State that one daemon keeps about another. */
struct rights_peer
{
    /** Newest revision of the rights document that the peer has reported. */
    revision documentRevision{};
    /** Daemons that the peer knows and that its document does not list. */
    std::set<member> unregistered{};
    net_transfers statements{};
    /** Time since which there is no recent heartbeat. */
    std::optional<time_point> silentSince{};
    std::optional<time_point> goneSince{};
    /** Time since which every other holder has stated its net transfers with this closing peer. */
    std::optional<time_point> statedByAllSince{};
    /** Nonce to echo in the next message; 0 if none. */
    std::uint64_t echoDue{};
    /** Teams whose received count must be acknowledged. */
    std::set<team_name> acknowledgeDue{};
    time_point helloSent{};
    time_point documentSent{};
    time_point givenSent{};
};

} // namespace azurelb
