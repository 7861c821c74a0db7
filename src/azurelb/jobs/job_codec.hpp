#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azurelb {

/** Encodes the record as JSON for the store. */
[[nodiscard]] std::string encode(const job_record &job);

/** Decodes a stored record; nullopt if it is malformed. */
[[nodiscard]] std::optional<job_record> decodeJob(std::string_view text);

/** Encodes the progress as JSON for the store. */
[[nodiscard]] std::string encode(const job_progress &progress);

/** Decodes stored progress; nullopt if it is malformed. */
[[nodiscard]] std::optional<job_progress> decodeProgress(std::string_view text);

} // namespace azurelb
