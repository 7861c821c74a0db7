#include "http_server.hpp"
#include "session.hpp"

#include <algorithm>

namespace azurelb::standin {

http_server::http_server(asio::io_context &loop, const tcp::endpoint &address, mode &served)
    : m_mode{served}
    , m_listener{loop, address, [this](tcp::socket socket) {
                     accepted(std::move(socket));
                 }}
{
    m_mode.observe([this] { applyFault(); });
}

void http_server::accepted(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    auto added = std::make_shared<session>(std::move(socket), m_mode,
                                           [this](const session_ptr &ended) { closed(ended); });
    m_sessions.insert(added);
    auto &seen = m_mode.status();
    seen.set_connections(static_cast<std::uint32_t>(m_sessions.size()));
    seen.set_most_connections(std::max(seen.most_connections(), seen.connections()));
    added->read();
}

void http_server::closed(const session_ptr &connection)
{
    m_sessions.erase(connection);
    m_mode.status().set_connections(static_cast<std::uint32_t>(m_sessions.size()));
}

void http_server::applyFault()
{
    const bool down = m_mode.fault().down();
    m_listener.setRefusing(down);
    if (!down)
        return;
    for (const session_ptr &each : m_sessions)
        each->close();
}

} // namespace azurelb::standin
