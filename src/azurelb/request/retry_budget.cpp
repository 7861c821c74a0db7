#include <azurelb/request/retry_budget.hpp>

#include <algorithm>

namespace azurelb {

void retry_budget::deposit() noexcept
{
    m_retries = std::min(burstRetries, m_retries + retriesPerRequest);
}

bool retry_budget::withdraw() noexcept
{
    if (m_retries < 1.0)
        return false;
    m_retries -= 1.0;
    return true;
}

} // namespace azurelb
