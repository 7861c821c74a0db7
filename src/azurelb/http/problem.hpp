#pragma once

#include <azurelb/http/run_state.hpp>

#include <boost/beast/http/status.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace azurelb {

/** An error answer before it is put into HTTP. */
struct problem
{
    boost::beast::http::status status{boost::beast::http::status::internal_server_error};
    run_state run{run_state::not_run};
    /** Short name of the kind of error, the last part of its type URI. */
    std::string_view kind{};
    std::string detail{};
    /** Written as Retry-After, rounded up to seconds, unless it is 0. */
    std::chrono::milliseconds retryAfter{};
};

} // namespace azurelb
