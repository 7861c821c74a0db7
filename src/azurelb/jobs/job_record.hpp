#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_step.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A job as submitted by its caller. Immutable once accepted. */
struct job_record
{
    job_id id{};
    std::string queue{};
    /** Pool of the queue when the job was accepted. */
    std::string pool{};
    /** Empty for a job that was submitted anonymously. */
    std::string team{};
    /** Configuration version under which the job was accepted. */
    std::int64_t configVersion{0};
    /** Limit of the queue when the job was accepted: number of failed runs of a task at which the
       job fails; 0 for no limit, or if an earlier version stored the job. */
    std::uint32_t maxAttempts{0};
    /** Time of acceptance, in Unix time. */
    std::chrono::milliseconds acceptedAt{0};
    std::string spec{};
    std::vector<job_step> steps{};
    /** Number of occurrences of a scheduled job; 0 for a job that runs once, immediately. */
    std::uint32_t repeats{0};
    /** Unix time of the first occurrence. */
    std::chrono::milliseconds firstDue{0};
    /** Time between two occurrences. */
    std::chrono::milliseconds interval{0};
};

/** Number of occurrences; 1 for a job that is not scheduled. */
[[nodiscard]] constexpr std::uint32_t occurrenceCount(const job_record &job) noexcept
{
    return job.repeats == 0 ? 1 : job.repeats;
}

} // namespace azurelb
