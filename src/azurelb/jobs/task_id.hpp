#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** Identifies a task by job, occurrence, step and index within the step. */
struct task_id
{
    job_id job{};
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    [[nodiscard]] friend bool operator==(const task_id &, const task_id &) = default;
    [[nodiscard]] friend auto operator<=>(const task_id &, const task_id &) = default;
};

/** Returns the identifier of the task's step, which is that of its first task. */
[[nodiscard]] inline task_id stepOf(const task_id &task)
{
    return {task.job, task.occurrence, task.step, 0};
}

/** Returns the identifier as JOB.OCCURRENCE.STEP.INDEX. */
[[nodiscard]] std::string toString(const task_id &task);

/** Parses an identifier written by toString(); nullopt if it is malformed. */
[[nodiscard]] std::optional<task_id> parseTaskId(std::string_view text);

} // namespace azurelb

template <>
struct std::hash<azurelb::task_id>
{
    [[nodiscard]] std::size_t operator()(const azurelb::task_id &task) const noexcept
    {
        constexpr std::size_t oddFactor{1'000'003};
        std::size_t seed = std::hash<std::string_view>{}(task.job);
        for (const std::uint32_t part : {task.occurrence, task.step, task.index})
            seed = seed * oddFactor + part;
        return seed;
    }
};
