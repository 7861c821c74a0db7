#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** The record as stored: JSON. */
[[nodiscard]] std::string encode(const job_record &job);

/** Reads a stored record; nothing if it is damaged. */
[[nodiscard]] std::optional<job_record> decodeJob(std::string_view text);

/** The progress as stored: JSON. */
[[nodiscard]] std::string encode(const job_progress &progress);

/** Reads stored progress; nothing if it is damaged. */
[[nodiscard]] std::optional<job_progress> decodeProgress(std::string_view text);

} // namespace azurelb
