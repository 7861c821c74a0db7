#pragma once

#include <azurelb/membership/member.hpp>

namespace azurelb {

/** Reports which daemons ran on VMs that the platform has removed. */
class departure_source
{
public:
    departure_source() = default;
    departure_source(const departure_source &) = delete;
    departure_source &operator=(const departure_source &) = delete;
    virtual ~departure_source() = default;

    /**
     * Returns true if the platform's list shows that the VM on which this incarnation ran was
     * removed or replaced: it was listed before and has been missing for longer than the lag of the
     * list. A lack of heartbeats or a second daemon with the same name is not enough. A daemon that
     * was restarted on the same VM need not be reported: rights_peers detects it by the new
     * incarnation.
     */
    [[nodiscard]] virtual bool isGone(const member &daemon) const = 0;
};

} // namespace azurelb
