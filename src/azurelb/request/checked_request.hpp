#pragma once

#include <azurelb/http/problem.hpp>
#include <azurelb/request/caller_request.hpp>

#include <optional>

namespace azurelb {

/** Either a request that may be served or the problem to answer. */
struct checked_request
{
    std::optional<problem> error{};
    caller_request request{};
};

} // namespace azurelb
