#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <string_view>

namespace azurelb {

/** State of a job. Completed, failed and cancelled are final. */
enum class job_state { pending, running, completed, failed, cancelled };

[[nodiscard]] constexpr bool isFinal(job_state state) noexcept
{
    return state != job_state::pending && state != job_state::running;
}

[[nodiscard]] constexpr std::string_view toString(job_state state) noexcept
{
    switch (state) {
    case job_state::pending:
        return "pending";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "invalid";
}

} // namespace azurelb
