#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/http/run_state.hpp>

namespace azurelb {

/** Final result of a caller's request at this daemon, after all attempts. */
struct request_result
{
    /** Whether the request took effect, independent of the response. */
    run_state run{run_state::not_run};
    /** True if the response came from the upstream, false if this daemon made it. */
    bool answered{false};
    http_response response{};
};

} // namespace azurelb
