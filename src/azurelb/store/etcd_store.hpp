#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/http/http_client.hpp>
#include <azurelb/store/etcd_options.hpp>
#include <azurelb/store/store.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace azurelb {

/**
 * Accesses the store through the JSON gateway of etcd v3, over a small pool of persistent
 * connections. While all of them are busy, calls wait in a bounded queue. A call that could not be
 * sent to one endpoint is sent to the next; a call that was sent is never repeated.
 */
class etcd_store final : public store
{
public:
    using size_type = std::uint64_t;

    /** Precondition: the options name at least one endpoint. */
    etcd_store(boost::asio::io_context &loop, const clock_source &clock, etcd_options options);
    ~etcd_store() override;

    void start(kernel &) override { }

    /** Closes all connections and discards all calls; their handlers are not called. */
    void stop() noexcept override;

    void read(const wire::etcd::txn_request &ranges, std::chrono::milliseconds timeout,
              store_handler done) override;
    void commit(const wire::etcd::txn_request &transaction, std::chrono::milliseconds timeout,
                store_handler done) override;

    /** Number of calls sent to the store. */
    [[nodiscard]] size_type sentCalls() const noexcept { return m_sentCalls; }

    /** Whether the latest completed call was answered. */
    [[nodiscard]] bool reachable() const noexcept { return m_reachable; }

private:
    using call_ptr = std::shared_ptr<internal::etcd_call>;

    /** One connection of the pool. */
    struct pooled_connection
    {
        std::unique_ptr<http_client> client;
        std::size_t endpoint{0};
        bool busy{false};
    };

    void enqueue(const wire::etcd::txn_request &transaction, std::chrono::milliseconds timeout,
                 store_handler done);
    void sendWaitingCalls();
    void expireCall(const call_ptr &call);
    void send(pooled_connection &connection, call_ptr call);
    void useCurrentEndpoint(pooled_connection &connection);
    void handleOutcome(pooled_connection &connection, const call_ptr &call,
                       const http_outcome &outcome);
    [[nodiscard]] bool shouldTryNextEndpoint(const internal::etcd_call &call,
                                             const http_outcome &outcome) const;
    void setReachable(bool answered);
    [[nodiscard]] std::chrono::milliseconds remainingTime(const internal::etcd_call &call) const;
    [[nodiscard]] pooled_connection *findIdleConnection() noexcept;
    void postRefusal(store_handler done);

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    etcd_options m_options;
    std::vector<pooled_connection> m_pool;
    std::deque<call_ptr> m_waitingCalls;
    /** Index of the endpoint that is tried first. */
    std::size_t m_currentEndpoint{0};
    size_type m_sentCalls{0};
    bool m_reachable{true};
    /** Handlers hold weak references to detect that the store has been destroyed. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
