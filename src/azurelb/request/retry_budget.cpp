#include <azurelb/request/retry_budget.hpp>

#include <algorithm>

namespace azurelb {

void retry_budget::deposit() noexcept
{
    m_availableRetries = std::min(burstRetries, m_availableRetries + retriesPerRequest);
}

bool retry_budget::withdraw() noexcept
{
    if (m_availableRetries < 1.0)
        return false;
    m_availableRetries -= 1.0;
    return true;
}

} // namespace azurelb
