#pragma once

#include <azurelb/capacity/fwd.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace azurelb {

/** Progress of a maintenance wave. */
struct wave_progress
{
    /** VMs that need no more maintenance. */
    std::set<std::string> finished{};
    /** VMs whose maintenance was ordered and that are not listed as up again. Not stored. */
    std::set<std::string> inMaintenance{};
    /** Unix time of the wave's deadline; 0 before an owner has recorded it. Operators give the
        deadline relative to their request, whose time a daemon that starts later does not know. */
    std::chrono::milliseconds deadlineUnix{0};
};

/** A wave's number and its progress. */
struct numbered_wave_progress
{
    std::int64_t number{0};
    wave_progress progress{};
};

/** Encodes progress as JSON for the store. VMs in maintenance are not included. */
[[nodiscard]] std::string encodeWaveProgress(std::int64_t number, const wave_progress &progress);

/** Decodes stored progress. Invalid text gives the number 0, which no wave has. */
[[nodiscard]] numbered_wave_progress decodeWaveProgress(std::string_view text);

} // namespace azurelb
