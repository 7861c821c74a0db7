#pragma once

#include "listener.hpp"
#include "mode.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>

namespace azurelb::standin {

/** Forwards TCP connections to one target and can be cut by faults. */
class forwarder final : public mode
{
public:
    forwarder(asio::io_context &loop, const tcp::endpoint &address, tcp::endpoint target);

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_listener.address(); }

    /** The control address runs no requests. */
    void answer(const request &asked, answer_handler done) override;

private:
    /** One connection and its counterpart towards the target. */
    struct link
    {
        tcp::socket near;
        tcp::socket far;
        bool silent{false};
    };

    using link_ptr = std::shared_ptr<link>;

    void faultChanged() override;
    void accepted(tcp::socket socket);
    asio::awaitable<void> forward(link_ptr connection);
    asio::awaitable<void> pump(link_ptr connection, tcp::socket &from, tcp::socket &to);
    asio::awaitable<void> holdWhileCut(const link &connection);
    void close(link &connection);

    asio::io_context &m_loop;
    tcp::endpoint m_target;
    std::set<link_ptr> m_links;
    listener m_listener;
};

} // namespace azurelb::standin
