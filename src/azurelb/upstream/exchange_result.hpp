#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/upstream/attempt_state.hpp>

#include <string>

namespace azurelb {

/** The end of one attempt. The response is valid if the state is answered or refused. */
struct exchange_result
{
    attempt_state state{attempt_state::not_sent};
    http_response response{};
    /** What went wrong, in words for the caller; empty if nothing did. */
    std::string detail{};
    /** The upstream closed or reset the connection before it had answered. */
    bool closedByUpstream{false};
};

} // namespace azurelb
