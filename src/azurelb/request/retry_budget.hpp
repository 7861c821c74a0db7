#pragma once

#include <azurelb/request/fwd.hpp>

namespace azurelb {

/**
 * Bounds the load that retries add: each first attempt earns a fraction of a retry, each retry
 * spends a whole one, and what is earned is kept only up to a burst.
 */
class retry_budget
{
public:
    /** Retries earned by each first attempt. */
    static constexpr double retriesPerRequest{0.1};
    /** Retries that can be kept. */
    static constexpr double burstRetries{10.0};

    /** Counts a first attempt. */
    void deposit() noexcept;

    /** Spends one retry; false if there is none. */
    [[nodiscard]] bool withdraw() noexcept;

private:
    double m_availableRetries{burstRetries};
};

} // namespace azurelb
