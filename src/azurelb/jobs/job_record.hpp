#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_step.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A job as its caller handed it in. It never changes after it was accepted. */
struct job_record
{
    job_id id{};
    std::string queue{};
    /** Pool that the queue led to when the job was accepted. */
    std::string pool{};
    /** Empty on a queue that is open to all. */
    std::string team{};
    /** Configuration version under which the job was accepted. */
    std::int64_t configVersion{0};
    /** Time of day of the acceptance, in Unix time. */
    std::chrono::milliseconds acceptedAt{0};
    std::string spec{};
    std::vector<job_step> steps{};
    /** Occurrences of a scheduled job; 0 for a job that runs once and at once. */
    std::uint32_t repeats{0};
    /** Unix time of the first occurrence. */
    std::chrono::milliseconds firstDue{0};
    std::chrono::milliseconds interval{0};
};

/** Number of occurrences that the job consists of. */
[[nodiscard]] constexpr std::uint32_t occurrenceCount(const job_record &job) noexcept
{
    return job.repeats == 0 ? 1 : job.repeats;
}

} // namespace azurelb
