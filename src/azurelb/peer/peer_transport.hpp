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
 * Sends messages to the services of other daemons. A message may be lost, repeated, reordered or
 * arrive late; services are written for that. Handlers run on the daemon's event loop.
 */
class peer_transport : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"peer_transport"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** The sender's own name. */
    [[nodiscard]] virtual const vm_id &self() const noexcept = 0;

    /** The sender's own incarnation. */
    [[nodiscard]] virtual incarnation selfIncarnation() const noexcept = 0;

    /**
     * Sends to the service of that name on one peer, without waiting and without any promise of
     * arrival. A message to the sender itself is delivered to its own handler.
     */
    virtual void send(const vm_id &to, std::string_view peerService,
                      const google::protobuf::MessageLite &message) = 0;

    /** Sets the handler of all envelopes for the service of that name, replacing an earlier one. */
    virtual void subscribe(std::string_view localService, envelope_handler handler) = 0;
};

} // namespace azurelb
