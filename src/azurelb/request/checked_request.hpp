#pragma once

#include <azurelb/http/problem.hpp>
#include <azurelb/request/caller_request.hpp>

#include <optional>

namespace azurelb {

/** Result of a check: the request, or the error to return to the caller. */
struct checked_request
{
    std::optional<problem> error{};
    caller_request request{};
};

} // namespace azurelb
