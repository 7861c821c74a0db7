#pragma once

#include <cstdint>

namespace azurelb {

/** Counters of a transport since its start. Messages to the process itself are not counted. */
struct transport_counters
{
    using value_type = std::uint64_t;

    value_type messagesSent{0};
    value_type bytesSent{0};
    value_type messagesReceived{0};
    value_type bytesReceived{0};
    /** Not sent: unknown peer, message too large, or send queue full. */
    value_type messagesNotSent{0};
    /** Received and rejected: not a valid envelope, or no handler for its service. */
    value_type messagesRejected{0};
    /** Received and dropped because too many others were waiting for the event loop. */
    value_type messagesOverflowed{0};
};

} // namespace azurelb
