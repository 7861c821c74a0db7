#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/fleet.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace azurelb {

/** Reboot to order from the platform once the document of the step is committed. */
struct reboot_order
{
    vm_id vm{};
    /** Boot id of the VM when the reboot was planned. */
    std::string bootId{};
};

/** Result of one planning step. */
struct plan_result
{
    /** Document to commit; empty if nothing changes. */
    std::optional<wire::fleet_document> document{};
    std::vector<wire::audit_record> records{};
    std::vector<reboot_order> reboots{};
};

/**
 * Returns whether a reboot order may still be sent: at most maxOrderDelay after committed. A daemon
 * that was suspended after its commit must not send it, since another daemon may have done so.
 */
[[nodiscard]] bool isRebootDue(time_point committed, const fleet_options &options,
                               time_point now) noexcept;

} // namespace azurelb
