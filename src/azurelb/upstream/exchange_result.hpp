#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/upstream/attempt_state.hpp>

#include <string>

namespace azurelb {

/** Result of one attempt. The response is valid if the state is answered or refused. */
struct exchange_result
{
    attempt_state state{attempt_state::not_sent};
    http_response response{};
    /** Description of the error for the caller; empty if there is none. */
    std::string detail{};
    /**
     * True if the upstream closed or reset the connection before a complete response was received.
     */
    bool closedByUpstream{false};
};

} // namespace azurelb
