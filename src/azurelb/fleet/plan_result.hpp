#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/fleet.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace azurelb {

/** Order to the platform, to be given only once the step's document is committed. */
struct reboot_order
{
    vm_id vm{};
    /** Boot that the order ends; with another boot id the order is void. */
    std::string bootId{};
};

/** Outcome of one planning step. */
struct plan_result
{
    /** The document to commit; nothing if there is nothing to change. */
    std::optional<wire::fleet_document> document{};
    std::vector<wire::audit_record> records{};
    std::vector<reboot_order> reboots{};
};

/**
 * True if an order may still be given. A daemon that was paused after its commit gives it no more:
 * by then another one may have.
 */
[[nodiscard]] bool isRebootDue(time_point committed, const fleet_options &options,
                               time_point now) noexcept;

} // namespace azurelb
