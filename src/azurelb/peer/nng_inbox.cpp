#include <azurelb/peer/nng_inbox.hpp>
#include <azurelb/peer/nng_limits.hpp>
#include <azurelb/peer/transport_error.hpp>

#include <boost/asio/post.hpp>
#include <nng/protocol/pipeline0/pull.h>

#include <utility>

namespace azurelb::internal {

namespace {

constexpr std::size_t maxWaitingMessages{8192};
constexpr int receiveBufferMessages{256};

void throwOnError(int result, const std::string &action)
{
    if (result != 0)
        throw transport_error{action + ": " + nng_strerror(result)};
}

} // namespace

nng_inbox::nng_inbox(boost::asio::io_context &loop, message_handler handler)
    : m_loop{loop}
    , m_handler{std::move(handler)}
{ }

nng_inbox::~nng_inbox()
{
    close();
}

void nng_inbox::listen(const std::string &address)
{
    nng_socket socket;
    throwOnError(nng_pull0_open(&socket), "open socket");
    m_socket = std::make_unique<nng_handle>(socket);
    throwOnError(nng_socket_set_int(socket, NNG_OPT_RECVBUF, receiveBufferMessages),
                 "set receive buffer");
    throwOnError(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maxMessageBytes),
                 "set maximum message size");
    nng_listener listener;
    throwOnError(nng_listener_create(&listener, socket, ("tcp://" + address).c_str()), address);
    throwOnError(nng_listener_set_bool(listener, NNG_OPT_TCP_KEEPALIVE, true), "set keepalive");
    throwOnError(nng_listener_start(listener, 0), "listen on " + address);
    int port = 0;
    throwOnError(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), "read port");
    m_port = static_cast<std::uint16_t>(port);
    throwOnError(nng_aio_alloc(&m_aio, &nng_inbox::onReceived, this), "allocate");
    nng_recv_aio(socket, m_aio);
}

void nng_inbox::close() noexcept
{
    if (m_aio) {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
        m_aio = nullptr;
    }
    m_socket.reset();
    m_handler = nullptr;
}

std::uint64_t nng_inbox::overflowedMessages() const
{
    const std::lock_guard lock{m_mutex};
    return m_overflowedMessages;
}

void nng_inbox::onReceived(void *self)
{
    static_cast<nng_inbox *>(self)->completeReceive();
}

void nng_inbox::completeReceive()
{
    const int result = nng_aio_result(m_aio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED)
        return;
    if (result == 0)
        enqueue(nng_msg_ptr{nng_aio_get_msg(m_aio)});
    nng_recv_aio(m_socket->get(), m_aio);
}

void nng_inbox::enqueue(nng_msg_ptr message)
{
    const std::lock_guard lock{m_mutex};
    if (m_waitingMessages.size() >= maxWaitingMessages) {
        ++m_overflowedMessages;
        return;
    }
    m_waitingMessages.push_back(std::move(message));
    if (m_waitingMessages.size() > 1)
        return;
    boost::asio::post(m_loop, [self = weak_from_this()] {
        if (const auto inbox = self.lock())
            inbox->deliverWaiting();
    });
}

void nng_inbox::deliverWaiting()
{
    std::vector<nng_msg_ptr> taken;
    {
        const std::lock_guard lock{m_mutex};
        taken = std::exchange(m_waitingMessages, {});
    }
    for (const nng_msg_ptr &message : taken) {
        if (m_handler)
            m_handler(*message);
    }
}

} // namespace azurelb::internal
