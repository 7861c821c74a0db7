#pragma once

#include <azurelb/capacity/fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace azurelb {

/** Where a wave stands. */
struct wave_progress
{
    /** VMs that need no more maintenance. */
    std::set<std::string> finished{};
    /** VMs whose maintenance was ordered and that are not seen up again. Not stored. */
    std::set<std::string> inMaintenance{};
};

/** A wave's number and its progress. */
struct numbered_wave_progress
{
    std::int64_t number{0};
    wave_progress progress{};
};

/** The progress as stored: JSON. */
[[nodiscard]] std::string encodeWaveProgress(std::int64_t number, const wave_progress &progress);

/** Reads stored progress; a damaged one is that of wave 0, which does not exist. */
[[nodiscard]] numbered_wave_progress decodeWaveProgress(std::string_view text);

} // namespace azurelb
