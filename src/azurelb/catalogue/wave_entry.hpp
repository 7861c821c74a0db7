#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** Maintenance wave requested by operators. */
struct wave_entry
{
    std::int64_t number{0};
    std::vector<std::string> vms{};
    /** Maximum number of VMs in maintenance at a time. */
    std::uint32_t maxParallel{1};
    boot_time deadline{};
    /** When this daemon learned of the request, which the operators made earlier. */
    boot_time knownAt{};
    /** The maintenance of all its VMs has been done. */
    bool completed{false};
};

} // namespace azurelb
