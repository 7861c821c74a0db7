#pragma once

#include <azurelb/limits/rights_limits.hpp>
#include <azurelb/membership/member.hpp>

#include <azurelb/wire/limits.pb.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurelb {

/** Rights that a daemon has given to each closing holder minus those received from it. */
using net_transfers = std::map<member, team_counts>;

/** Inputs from which the next rights document is computed. */
struct document_inputs
{
    member self{};
    /** Known daemons that the current document does not list. */
    std::vector<member> unregistered{};
    /** Daemons that were removed by the platform or replaced. */
    std::set<member> gone{};
    /** Gone daemons whose requests have ended. */
    std::set<member> ended{};
    /** Net transfers stated by the daemons that know the current document. */
    std::map<member, net_transfers> statements{};
    rights_limits limits{};
    /** Rights that this daemon can burn, by team. */
    team_counts burnable{};
};

/**
 * Returns the document that should replace the current one, or none if there is nothing to change.
 * Lists all known daemons, marks gone ones as closing, and mints or burns rights of this daemon to
 * match the limits. If none of this is due, it reclaims all closing holders together once the work
 * of each has ended and every other holder has stated its net transfers with each; their rights
 * are added to this daemon.
 */
[[nodiscard]] std::optional<wire::rights_document>
nextDocument(const wire::rights_document &current, const document_inputs &inputs);

} // namespace azurelb
