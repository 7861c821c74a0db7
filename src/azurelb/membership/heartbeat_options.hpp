#pragma once

#include <chrono>

namespace azurelb {

/** Times of the heartbeats between daemons. */
struct heartbeat_options
{
    std::chrono::milliseconds period{250};
    /** Age of the newest answered heartbeat from which a member is no longer fresh. */
    std::chrono::milliseconds suspectAfter{800};
    /** Time without an answer from a peer after which its connection is dialled anew. */
    std::chrono::milliseconds redialAfter{2000};
    /** Time after which a VM that was never heard of again no longer counts as known. */
    std::chrono::minutes forgetAfter{10};
};

} // namespace azurelb
