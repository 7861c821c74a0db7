#pragma once

#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_revisions.hpp>
#include <azurelb/config/fleet_view.hpp>

#include <string>

namespace azurelb {

/** Result of applying a received document. */
enum class apply_outcome { applied, not_newer, malformed };

/**
 * The newest documents known to this daemon. A document is replaced only by one of a higher
 * revision.
 */
class local_documents
{
public:
    [[nodiscard]] const config_view_ptr &config() const noexcept { return m_config; }
    [[nodiscard]] const fleet_view_ptr &fleet() const noexcept { return m_fleet; }

    [[nodiscard]] document_revisions revisions() const noexcept
    {
        return {m_config->storeRevision(), m_fleet->storeRevision()};
    }

    /**
     * Parses and stores a serialised document if its revision is higher. A malformed document is
     * logged and ignored.
     */
    apply_outcome applyConfig(const std::string &value, revision at);
    apply_outcome applyFleet(const std::string &value, revision at);

private:
    config_view_ptr m_config{std::make_shared<config_view>()};
    fleet_view_ptr m_fleet{std::make_shared<fleet_view>()};
};

} // namespace azurelb
