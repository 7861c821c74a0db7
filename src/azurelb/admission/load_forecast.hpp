#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

/** Predicted load of one pool. */
struct pool_forecast
{
    std::string pool{};
    /** Time until all accepted short work is done if no more arrives. */
    std::chrono::milliseconds drain{0};
    /** Mean number of cores that serve short work in that time. */
    double cores{0};
    /** Fraction of the new jobs that is admitted, between 0 and 1. */
    double admitted{1};
};

/** What the owner predicts for pools under load. Pools that are not listed have room. */
struct load_forecast
{
    /** Increases with each forecast of one owner, so that equal forecasts differ when stored. */
    std::int64_t number{0};
    std::vector<pool_forecast> pools{};

    [[nodiscard]] bool empty() const noexcept { return pools.empty(); }
};

[[nodiscard]] std::string encode(const load_forecast &forecast);

/** Decodes a forecast; nullopt if the text is malformed. */
[[nodiscard]] std::optional<load_forecast> decodeForecast(std::string_view text);

} // namespace azurelb
