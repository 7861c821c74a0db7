#pragma once

#include <azurelb_bench/fwd.hpp>

#include <stdexcept>

namespace azurelb::bench {

/** Invalid flag value; the message names the flag. */
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Runs the scenario of the flag --scenario and returns its report. Throws usage_error. */
[[nodiscard]] run_report runScenario();

/** Writes the fleet document of the flag --fleet to the store. Throws usage_error. */
void seedFleet();

} // namespace azurelb::bench
