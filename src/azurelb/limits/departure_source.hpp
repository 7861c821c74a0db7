#pragma once

#include <azurelb/membership/member.hpp>

namespace azurelb {

/** Tells which daemons the platform has removed for good. */
class departure_source
{
public:
    departure_source() = default;
    departure_source(const departure_source &) = delete;
    departure_source &operator=(const departure_source &) = delete;
    virtual ~departure_source() = default;

    /**
     * True if the platform's list shows that the machine on which this incarnation ran is gone or
     * has been replaced: listed before, then not, for longer than the lag of the list. A silent
     * daemon is not gone, nor is one whose name a second daemon uses. A daemon
     * that was restarted on a VM that stays need not be told: its successor shows it.
     */
    [[nodiscard]] virtual bool isGone(const member &daemon) const = 0;
};

} // namespace azurelb
