#pragma once

#include <azurelb/limits/rights_limits.hpp>
#include <azurelb/membership/member.hpp>

#include <azurelb/wire/limits.pb.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurelb {

/** What a daemon states about each closing holder: given to it less received from it. */
using net_transfers = std::map<member, team_counts>;

/** What the next rights document rests on. */
struct document_inputs
{
    member self{};
    /** Known daemons that the document does not list. */
    std::vector<member> unregistered{};
    /** Daemons that the platform has removed. */
    std::set<member> gone{};
    /** Daemons that are gone and whose work has ended. */
    std::set<member> ended{};
    /** Statements of the daemons that know the current document. */
    std::map<member, net_transfers> statements{};
    rights_limits limits{};
    /** Rights that this daemon can burn, by team. */
    team_counts burnable{};
};

/**
 * The document that should replace the current one; none if it stands. In this order: lists all
 * known daemons, marks those gone as closing, and mints or burns rights of this daemon up or down
 * to the limits; or, if nothing of that is due, reclaims all closing holders at once when the work
 * of each has ended and every other holder has stated its exchanges with each. What the reclaimed
 * ones had goes to this daemon.
 */
[[nodiscard]] std::optional<wire::rights_document>
nextDocument(const wire::rights_document &current, const document_inputs &inputs);

} // namespace azurelb
