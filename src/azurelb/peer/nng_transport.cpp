#include <azurelb/log/log.hpp>
#include <azurelb/peer/nng_handle.hpp>
#include <azurelb/peer/nng_inbox.hpp>
#include <azurelb/peer/nng_limits.hpp>
#include <azurelb/peer/nng_transport.hpp>

#include <boost/asio/post.hpp>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <chrono>

namespace azurelb {

namespace {

constexpr int sendBufferMessages{64};
constexpr std::chrono::milliseconds minReconnectDelay{100};
constexpr std::chrono::milliseconds maxReconnectDelay{1000};

/**
 * Opens a push socket that connects in the background. Returns the error code of nng, 0 on success.
 */
int openPushSocket(const std::string &address, std::unique_ptr<internal::nng_handle> &opened)
{
    nng_socket socket;
    if (const int error = nng_push0_open(&socket))
        return error;
    auto handle = std::make_unique<internal::nng_handle>(socket);
    nng_dialer dialer;
    if (const int error = nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendBufferMessages))
        return error;
    if (const int error = nng_dialer_create(&dialer, socket, ("tcp://" + address).c_str()))
        return error;
    (void)nng_dialer_set_ms(dialer, NNG_OPT_RECONNMINT,
                            static_cast<nng_duration>(minReconnectDelay.count()));
    (void)nng_dialer_set_ms(dialer, NNG_OPT_RECONNMAXT,
                            static_cast<nng_duration>(maxReconnectDelay.count()));
    (void)nng_dialer_set_bool(dialer, NNG_OPT_TCP_KEEPALIVE, true);
    (void)nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true);
    if (const int error = nng_dialer_start(dialer, NNG_FLAG_NONBLOCK))
        return error;
    opened = std::move(handle);
    return 0;
}

/** Encodes the envelope as an nng message; null if it is too large or memory is short. */
internal::nng_msg_ptr encode(const wire::envelope &envelope)
{
    const std::size_t size = envelope.ByteSizeLong();
    nng_msg *message = nullptr;
    if (size > internal::maxMessageBytes || nng_msg_alloc(&message, size) != 0)
        return nullptr;
    envelope.SerializeWithCachedSizesToArray(static_cast<std::uint8_t *>(nng_msg_body(message)));
    return internal::nng_msg_ptr{message};
}

} // namespace

nng_transport::nng_transport(boost::asio::io_context &loop, nng_options options)
    : m_loop{loop}
    , m_options{std::move(options)}
{ }

nng_transport::~nng_transport()
{
    stop();
}

void nng_transport::start(kernel &)
{
    start();
}

void nng_transport::start()
{
    m_inbox = std::make_shared<internal::nng_inbox>(m_loop, [this](nng_msg &message) {
        const auto *body = static_cast<const char *>(nng_msg_body(&message));
        const int pipe = nng_pipe_id(nng_msg_get_pipe(&message));
        handleMessage({body, nng_msg_len(&message)}, static_cast<std::uint32_t>(pipe));
    });
    m_inbox->listen(m_options.listen);
}

void nng_transport::stop() noexcept
{
    if (m_inbox)
        m_inbox->close();
    m_inbox.reset();
    m_outgoing.clear();
}

void nng_transport::send(const vm_id &to, std::string_view peerService,
                         const google::protobuf::MessageLite &message)
{
    if (to == m_options.self) {
        sendToSelf(peerService, message);
        return;
    }
    const auto found = m_outgoing.find(to);
    if (found == m_outgoing.end() || !found->second.socket) {
        ++m_counters.messagesNotSent;
        return;
    }
    fillEnvelope(peerService, message);
    internal::nng_msg_ptr encoded = encode(m_outgoingEnvelope);
    const std::size_t size = encoded ? nng_msg_len(encoded.get()) : 0;
    if (!encoded || nng_sendmsg(found->second.socket->get(), encoded.get(), NNG_FLAG_NONBLOCK)) {
        ++m_counters.messagesNotSent;
        return;
    }
    // nng_sendmsg() has taken ownership of the message.
    (void)encoded.release();
    ++m_counters.messagesSent;
    m_counters.bytesSent += size;
}

void nng_transport::subscribe(std::string_view localService, envelope_handler handler)
{
    m_handlers.insert_or_assign(std::string{localService}, std::move(handler));
}

void nng_transport::setPeers(const std::vector<peer_address> &peers)
{
    const auto isObsolete = [&peers](const auto &entry) {
        return std::none_of(peers.begin(), peers.end(), [&entry](const peer_address &peer) {
            return peer.vm == entry.first && peer.address == entry.second.address;
        });
    };
    std::erase_if(m_outgoing, isObsolete);
    for (const peer_address &peer : peers) {
        if (peer.vm == m_options.self || m_outgoing.contains(peer.vm))
            continue;
        outgoing_connection &added = m_outgoing[peer.vm];
        added.address = peer.address;
        logEvent(event::peer_dialled, {{"peer", peer.vm.value()}, {"address", peer.address}});
        dial(peer.vm, added);
    }
}

void nng_transport::redial(const vm_id &peer)
{
    const auto found = m_outgoing.find(peer);
    if (found == m_outgoing.end())
        return;
    logEvent(event::peer_redialled, {{"peer", peer.value()}, {"address", found->second.address}});
    found->second.socket.reset();
    dial(peer, found->second);
}

std::uint16_t nng_transport::port() const noexcept
{
    return m_inbox ? m_inbox->port() : 0;
}

transport_counters nng_transport::counters() const
{
    transport_counters counted = m_counters;
    if (m_inbox)
        counted.messagesOverflowed = m_inbox->overflowedMessages();
    return counted;
}

void nng_transport::sendToSelf(std::string_view localService,
                               const google::protobuf::MessageLite &message)
{
    fillEnvelope(localService, message);
    boost::asio::post(m_loop, [this, alive = std::weak_ptr{m_alive}, copy = m_outgoingEnvelope] {
        if (!alive.expired())
            (void)deliver(copy);
    });
}

void nng_transport::dial(const vm_id &peer, outgoing_connection &connection)
{
    if (const int error = openPushSocket(connection.address, connection.socket)) {
        logEvent(event::peer_address_refused,
                 {{"peer", peer.value()},
                  {"address", connection.address},
                  {"error", nng_strerror(error)}});
    }
}

void nng_transport::handleMessage(std::string_view bytes, std::uint32_t pipe)
{
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += bytes.size();
    wire::envelope message;
    const bool parsed = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!parsed || message.from_vm().empty()) {
        ++m_counters.messagesRejected;
        return;
    }
    closeReplacedPipe(message, pipe);
    if (!deliver(message))
        ++m_counters.messagesRejected;
}

void nng_transport::closeReplacedPipe(const wire::envelope &message, std::uint32_t pipe)
{
    incoming_connection &latest = m_latestIncoming[vm_id{message.from_vm()}];
    const incarnation sender{message.from_incarnation()};
    // The sender has opened a new connection: nothing more arrives on the previous one.
    if (latest.id == sender && latest.pipe != 0 && latest.pipe != pipe)
        (void)nng_pipe_close(nng_pipe{latest.pipe});
    latest = {sender, pipe};
}

bool nng_transport::deliver(const wire::envelope &message) const
{
    const auto found = m_handlers.find(message.service());
    if (found == m_handlers.end())
        return false;
    // Copied, because the handler may replace itself through subscribe().
    const envelope_handler handler = found->second;
    handler(message);
    return true;
}

void nng_transport::fillEnvelope(std::string_view service,
                                 const google::protobuf::MessageLite &message)
{
    m_outgoingEnvelope.set_from_vm(m_options.self.value());
    m_outgoingEnvelope.set_from_incarnation(static_cast<std::uint64_t>(m_options.id));
    m_outgoingEnvelope.set_service(service.data(), service.size());
    message.SerializeToString(m_outgoingEnvelope.mutable_payload());
}

} // namespace azurelb
