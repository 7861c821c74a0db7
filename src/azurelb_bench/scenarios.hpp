#pragma once

#include <azurelb_bench/fwd.hpp>

#include <stdexcept>

namespace azurelb::bench {

/** A flag that cannot be used; the text names it. */
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Runs the scenario that the flags name and gives its report; throws usage_error. */
[[nodiscard]] run_report runScenario();

/** Writes the fleet document of the flag --fleet to the store; throws usage_error. */
void seedFleet();

} // namespace azurelb::bench
