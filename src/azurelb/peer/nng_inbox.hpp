#pragma once

#include <azurelb/peer/nng_handle.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurelb::internal {

/**
 * Receives messages from peers. They arrive on threads of nng and are passed to the handler on the
 * event loop, in batches if it is busy.
 */
class nng_inbox : public std::enable_shared_from_this<nng_inbox>
{
public:
    using message_handler = std::function<void(nng_msg &)>;

    nng_inbox(boost::asio::io_context &loop, message_handler handler);
    nng_inbox(const nng_inbox &) = delete;
    nng_inbox &operator=(const nng_inbox &) = delete;
    ~nng_inbox();

    /** Starts listening. Throws transport_error if the address cannot be used. */
    void listen(const std::string &address);

    /** Stops receiving; the handler is not called any more. */
    void close() noexcept;

    /** Port that the socket listens on. */
    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

    /** Number of messages dropped because too many were waiting for the event loop. */
    [[nodiscard]] std::uint64_t overflowedMessages() const;

private:
    static void onReceived(void *self);
    void completeReceive();
    void enqueue(nng_msg_ptr message);
    void deliverWaiting();

    boost::asio::io_context &m_loop;
    message_handler m_handler;
    std::unique_ptr<nng_handle> m_socket;
    nng_aio *m_aio{nullptr};
    std::uint16_t m_port{0};
    mutable std::mutex m_mutex;
    std::vector<nng_msg_ptr> m_waitingMessages;
    std::uint64_t m_overflowedMessages{0};
};

} // namespace azurelb::internal
