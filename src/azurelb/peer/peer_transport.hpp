#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/peer/fwd.hpp>

#include <string_view>

namespace google::protobuf {
class MessageLite;
} // namespace google::protobuf

namespace azurelb {

/**
 * Sends messages to the services of other daemons. Messages can be lost, duplicated, reordered or
 * delayed, and services must tolerate that. Handlers run on the daemon's event loop.
 */
class peer_transport : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"peer_transport"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** VM on which this process runs. */
    [[nodiscard]] virtual const vm_id &self() const noexcept = 0;

    /** Incarnation of this process. */
    [[nodiscard]] virtual incarnation selfIncarnation() const noexcept = 0;

    /**
     * Sends a message to a service of one peer, without blocking and without a guarantee of
     * delivery. A message to this process itself is delivered to its own handler.
     */
    virtual void send(const vm_id &to, std::string_view peerService,
                      const google::protobuf::MessageLite &message) = 0;

    /** Sets the handler of envelopes for a local service, replacing any earlier one. */
    virtual void subscribe(std::string_view localService, envelope_handler handler) = 0;
};

} // namespace azurelb
