#include <azurelb/http/http_client.hpp>
#include <azurelb/http/http_connection.hpp>

namespace azurelb {

http_client::http_client(boost::asio::io_context &loop, const endpoint &peer)
    : m_loop{&loop}
    , m_peer{peer}
{ }

http_client::~http_client()
{
    close();
}

bool http_client::isConnected() const noexcept
{
    return m_connection && m_connection->isReusable();
}

void http_client::call(http_request request, http_timeouts timeouts, http_handler handler)
{
    if (!isConnected())
        close();
    if (!m_connection) {
        m_connection = std::make_shared<internal::http_connection>(*m_loop, m_peer);
        ++m_connectionNumber;
    }
    m_connection->call(std::move(request), timeouts, std::move(handler));
}

void http_client::callConnected(http_request request, http_timeouts timeouts, http_handler handler)
{
    m_connection->call(std::move(request), timeouts, std::move(handler));
}

void http_client::close() noexcept
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

} // namespace azurelb
