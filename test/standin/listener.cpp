#include "listener.hpp"

#include <boost/asio/io_context.hpp>

namespace azurelb::standin {

listener::listener(asio::io_context &loop, const tcp::endpoint &address, accept_handler accepted)
    : m_acceptor{loop}
    , m_address{address}
    , m_accepted{std::move(accepted)}
{
    bind();
    m_acceptor.listen();
    accept();
}

void listener::setRefusing(bool refusing)
{
    if (m_refusing == refusing)
        return;
    m_refusing = refusing;
    if (refusing) {
        m_acceptor.close();
        bind();
    } else {
        m_acceptor.listen();
        accept();
    }
}

void listener::bind()
{
    m_acceptor.open(m_address.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address{true});
    m_acceptor.bind(m_address);
    m_address = m_acceptor.local_endpoint();
}

void listener::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            m_accepted(std::move(socket));
        if (!m_refusing)
            accept();
    });
}

} // namespace azurelb::standin
