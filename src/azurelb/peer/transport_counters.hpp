#pragma once

#include <cstdint>

namespace azurelb {

/** What a transport has done since its start. Messages to the process itself do not count. */
struct transport_counters
{
    using value_type = std::uint64_t;

    value_type messagesSent{0};
    value_type bytesSent{0};
    value_type messagesReceived{0};
    value_type bytesReceived{0};
    /** Not sent: unknown peer, too large, or the peer does not take them fast enough. */
    value_type messagesNotSent{0};
    /** Received and of no use: not an envelope, or for a service that is not here. */
    value_type messagesRejected{0};
    /** Received while too many others waited for the event loop. */
    value_type messagesOverflowed{0};
};

} // namespace azurelb
