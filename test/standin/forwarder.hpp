#pragma once

#include "listener.hpp"
#include "mode.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>

namespace azurelb::standin {

/** Forwards TCP connections to one target; faults interrupt them. */
class forwarder final : public mode
{
public:
    forwarder(asio::io_context &loop, const tcp::endpoint &address, tcp::endpoint target);

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_listener.address(); }

    /** Answers 404; the control address serves no other requests. */
    void answer(const request &req, answer_handler done) override;

private:
    /** An accepted connection and the matching connection to the target. */
    struct connection_pair
    {
        tcp::socket client;
        tcp::socket server;
        bool silent{false};
    };

    using pair_ptr = std::shared_ptr<connection_pair>;

    void faultChanged() override;
    void accepted(tcp::socket socket);
    asio::awaitable<void> forward(pair_ptr connection);
    asio::awaitable<void> copyBytes(pair_ptr connection, tcp::socket &from, tcp::socket &to);
    asio::awaitable<void> waitWhileCut(const connection_pair &connection);
    void close(connection_pair &connection);

    asio::io_context &m_loop;
    tcp::endpoint m_target;
    std::set<pair_ptr> m_connections;
    listener m_listener;
};

} // namespace azurelb::standin
