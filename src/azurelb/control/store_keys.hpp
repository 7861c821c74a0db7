#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/** Keys and key prefixes of azurelb in the store. */
namespace azurelb::store_keys {

/** Key held under a lease by the daemon that owns all jobs; its revision is the fencing token. */
inline constexpr std::string_view owner{"azurelb/owner"};
inline constexpr std::string_view jobs{"azurelb/job/"};
inline constexpr std::string_view progress{"azurelb/progress/"};
/** Registrations of executors that may have runs. */
inline constexpr std::string_view executors{"azurelb/executor/"};
/** Whether the last owner that has given orders may still give some ("open") or has stopped
    ("closed"); preceded by "yielded-" if the key was then released in favour of a larger VM. */
inline constexpr std::string_view lastOwner{"azurelb/last-owner"};
/** Processor shares of the VMs whose daemons are candidates for owner. */
inline constexpr std::string_view candidates{"azurelb/candidate/"};
/** Number of waiting jobs in each queue, as last published by the owner. */
inline constexpr std::string_view waiting{"azurelb/waiting"};
/** Load of the pools, as last predicted by the owner. */
inline constexpr std::string_view forecast{"azurelb/forecast"};
/** Identifiers of jobs that were rejected. */
inline constexpr std::string_view rejected{"azurelb/rejected/"};
/** Progress of each wave: VMs whose maintenance has finished. */
inline constexpr std::string_view waves{"azurelb/wave/"};
inline constexpr std::string_view recordSuffix{"/record"};
inline constexpr std::string_view cancelSuffix{"/cancel"};

[[nodiscard]] inline std::string jobRecord(const job_id &id)
{
    return std::string{jobs} + id + std::string{recordSuffix};
}

[[nodiscard]] inline std::string jobCancel(const job_id &id)
{
    return std::string{jobs} + id + std::string{cancelSuffix};
}

[[nodiscard]] inline std::string jobRejection(const job_id &id)
{
    return std::string{rejected} + id;
}

[[nodiscard]] inline std::string jobProgress(const job_id &id)
{
    return std::string{progress} + id;
}

[[nodiscard]] inline std::string wave(std::int64_t number)
{
    return std::string{waves} + std::to_string(number);
}

[[nodiscard]] inline std::string candidate(const std::string &vm)
{
    return std::string{candidates} + vm;
}

[[nodiscard]] inline std::string executor(const executor_id &id)
{
    return std::string{executors} + id;
}

} // namespace azurelb::store_keys
