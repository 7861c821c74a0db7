#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/peer/nng_options.hpp>
#include <azurelb/peer/peer_address.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/peer/transport_counters.hpp>

#include <azurelb/wire/peer.pb.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurelb {

/**
 * Peer messages over nng: one push socket for each peer and one pull socket for all incoming
 * messages. Sending never blocks: each peer has a short send queue, and messages that do not fit
 * are dropped. The event loop must allow posts from other threads.
 */
class nng_transport final : public peer_transport
{
public:
    nng_transport(boost::asio::io_context &loop, nng_options options);
    ~nng_transport() override;

    /** Starts listening. Throws transport_error if the address cannot be used. */
    void start(kernel &services) override;

    /** Starts listening, for use without a kernel. */
    void start();

    void stop() noexcept override;

    [[nodiscard]] const vm_id &self() const noexcept override { return m_options.self; }

    [[nodiscard]] incarnation selfIncarnation() const noexcept override { return m_options.id; }

    void send(const vm_id &to, std::string_view peerService,
              const google::protobuf::MessageLite &message) override;

    void subscribe(std::string_view localService, envelope_handler handler) override;

    /**
     * Sets all peers. Connections to peers whose address is unchanged are kept; an entry for this
     * process itself is ignored.
     */
    void setPeers(const std::vector<peer_address> &peers);

    /**
     * Replaces the connection to a peer and drops the messages queued on the old one. To be called
     * when nothing has been received from the peer, since a connection can stop delivering for good
     * without any error.
     */
    void redial(const vm_id &peer);

    /** Port that the transport listens on; 0 before the start. */
    [[nodiscard]] std::uint16_t port() const noexcept;

    [[nodiscard]] transport_counters counters() const;

private:
    /** Outgoing connection to one peer. */
    struct outgoing_connection
    {
        std::string address;
        std::unique_ptr<internal::nng_handle> socket;
    };

    /** Incoming connection on which the latest message of a peer arrived. */
    struct incoming_connection
    {
        incarnation id{};
        std::uint32_t pipe{0};
    };

    void sendToSelf(std::string_view localService, const google::protobuf::MessageLite &message);
    void dial(const vm_id &peer, outgoing_connection &connection);
    void handleMessage(std::string_view bytes, std::uint32_t pipe);
    void closeReplacedPipe(const wire::envelope &message, std::uint32_t pipe);
    [[nodiscard]] bool deliver(const wire::envelope &message) const;
    void fillEnvelope(std::string_view service, const google::protobuf::MessageLite &message);

    boost::asio::io_context &m_loop;
    nng_options m_options;
    std::map<vm_id, outgoing_connection> m_outgoing;
    std::map<vm_id, incoming_connection> m_latestIncoming;
    std::map<std::string, envelope_handler, std::less<>> m_handlers;
    std::shared_ptr<internal::nng_inbox> m_inbox;
    transport_counters m_counters;
    /** Reused for all sends, to avoid allocations. */
    wire::envelope m_outgoingEnvelope;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
