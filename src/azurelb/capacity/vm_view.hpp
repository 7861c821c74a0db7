#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/resources.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstddef>
#include <string>

namespace azurelb {

/** One VM as planned work sees it. */
struct vm_view
{
    std::string vm{};
    std::string pool{};
    std::string zone{};
    executor_id executor{};
    resources capacity{};
    /** The platform lists it as up, and its executor answers or it is in standby. */
    bool up{false};
    /** Its zone is evacuated or it leaves. */
    bool excluded{false};
    /** An order for it is under way, or its last one has not shown its effect. */
    bool ordered{false};
    /** Maintenance of it is being prepared. */
    bool reserved{false};
    std::size_t shortRuns{0};
    std::size_t longRuns{0};
    /** Since when it has had no run. */
    boot_time idleSince{};

    [[nodiscard]] bool isEmpty() const noexcept { return shortRuns == 0 && longRuns == 0; }
};

} // namespace azurelb
