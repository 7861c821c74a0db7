#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/** Keys of azurelb in the store. */
namespace azurelb::store_keys {

/** Held under a lease by the daemon that owns all jobs; its revision is the fencing token. */
inline constexpr std::string_view owner{"azurelb/owner"};
inline constexpr std::string_view jobs{"azurelb/job/"};
inline constexpr std::string_view progress{"azurelb/progress/"};
/** Executors that may hold runs. */
inline constexpr std::string_view executors{"azurelb/executor/"};
/** Token of the last owner, and whether it stopped giving orders before it gave its key back. */
inline constexpr std::string_view lastOwner{"azurelb/last-owner"};
/** Jobs that wait in each queue, as the owner last published them. */
inline constexpr std::string_view waiting{"azurelb/waiting"};
/** VMs of each wave that had their maintenance. */
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

[[nodiscard]] inline std::string jobProgress(const job_id &id)
{
    return std::string{progress} + id;
}

[[nodiscard]] inline std::string wave(std::int64_t number)
{
    return std::string{waves} + std::to_string(number);
}

[[nodiscard]] inline std::string executor(const executor_id &id)
{
    return std::string{executors} + id;
}

} // namespace azurelb::store_keys
