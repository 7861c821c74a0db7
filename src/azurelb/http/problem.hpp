#pragma once

#include <azurelb/http/run_state.hpp>

#include <boost/beast/http/status.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace azurelb {

/** Content of an error response, independent of its HTTP encoding. */
struct problem
{
    boost::beast::http::status status{boost::beast::http::status::internal_server_error};
    run_state run{run_state::not_run};
    /** Short name of the error, the last part of its type URI. */
    std::string_view kind{};
    std::string detail{};
    /** Value of the Retry-After header, rounded up to seconds; omitted if 0. */
    std::chrono::milliseconds retryAfter{};
};

} // namespace azurelb
