#pragma once

namespace azurelb {

enum class intake_outcome;
struct intake_limits;
class job_intake;

} // namespace azurelb
