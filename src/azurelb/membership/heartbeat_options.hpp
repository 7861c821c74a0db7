#pragma once

#include <chrono>

namespace azurelb {

/** Timing of the heartbeats between daemons. */
struct heartbeat_options
{
    std::chrono::milliseconds period{250};
    /** Age of the newest echoed heartbeat beyond which a member is no longer fresh. */
    std::chrono::milliseconds suspectAfter{800};
    /** Time without an echo from a peer after which its connection is re-established. */
    std::chrono::milliseconds redialAfter{2000};
    /** Time without heartbeats after which a VM that is not a peer no longer counts as known. */
    std::chrono::minutes forgetAfter{10};
};

} // namespace azurelb
