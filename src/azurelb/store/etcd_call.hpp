#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/store/store_reply.hpp>

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace azurelb::internal {

/** A store call that waits for a connection or for its response. */
struct etcd_call
{
    /** The transaction as JSON. */
    std::string body;
    time_point deadline;
    store_handler done;
    /** Limits the wait for a connection. */
    boost::asio::steady_timer timer;
    /** Number of endpoints that could not be reached so far. */
    std::size_t unreachableEndpoints{0};
    /** Number of responses expected if the transaction succeeds, and if it does not. */
    int expectedSuccessResponses{0};
    int expectedFailureResponses{0};
};

} // namespace azurelb::internal
