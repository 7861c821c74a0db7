#pragma once

#include "listener.hpp"
#include "mode.hpp"

#include <memory>
#include <set>

namespace azurelb::standin {

class session;

/** Serves one mode over HTTP on one address and applies its faults. */
class http_server
{
public:
    /** Throws boost::system::system_error if the address cannot be bound. */
    http_server(asio::io_context &loop, const tcp::endpoint &address, mode &served);

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_listener.address(); }

private:
    using session_ptr = std::shared_ptr<session>;

    void accepted(tcp::socket socket);
    void closed(const session_ptr &connection);
    void applyFault();

    mode &m_mode;
    std::set<session_ptr> m_sessions;
    listener m_listener;
};

} // namespace azurelb::standin
