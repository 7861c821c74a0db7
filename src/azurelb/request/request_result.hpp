#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/http/run_state.hpp>

namespace azurelb {

/** How a request ended at this daemon. */
struct request_result
{
    /** What is known of the request's effect, apart from what the response says. */
    run_state run{run_state::not_run};
    /** True if the response is the upstream's own. */
    bool answered{false};
    http_response response{};
};

} // namespace azurelb
