#pragma once

#include <azurelb/request/fwd.hpp>

namespace azurelb {

/**
 * Bounds the load that retries add: each first attempt adds a fraction of a retry to the budget,
 * each retry takes a whole one, and the budget is capped.
 */
class retry_budget
{
public:
    /** Retries added to the budget by each first attempt. */
    static constexpr double retriesPerRequest{0.1};
    /** Cap of the budget, in retries. */
    static constexpr double burstRetries{10.0};

    /** Adds retriesPerRequest for a first attempt. */
    void deposit() noexcept;

    /** Takes one retry from the budget; false if less than one is left. */
    [[nodiscard]] bool withdraw() noexcept;

private:
    double m_availableRetries{burstRetries};
};

} // namespace azurelb
