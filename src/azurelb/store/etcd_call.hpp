#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/store/store_reply.hpp>

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace azurelb::internal {

/** One store call that waits for a connection or for its answer. */
struct etcd_call
{
    /** The transaction as JSON. */
    std::string body;
    time_point deadline;
    store_handler done;
    /** Ends the wait for a connection. */
    boost::asio::steady_timer timer;
    /** Endpoints that could not be reached so far. */
    std::size_t unreachableEndpoints{0};
    /** Responses that the answer holds if the transaction succeeds, and if it does not. */
    int expectedSuccessResponses{0};
    int expectedFailureResponses{0};
};

} // namespace azurelb::internal
