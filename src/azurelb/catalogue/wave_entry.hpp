#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A maintenance wave that operators asked for. */
struct wave_entry
{
    std::int64_t number{0};
    std::vector<std::string> vms{};
    /** Most VMs in maintenance at a time. */
    std::uint32_t maxParallel{1};
    boot_time deadline{};
    /** All its VMs had their maintenance. */
    bool completed{false};
};

} // namespace azurelb
