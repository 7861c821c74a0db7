#pragma once

#include <azurelb/http/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace azurelb::test {

/**
 * Reserves an ephemeral port of 127.0.0.1 for a program under test, including after a restart. The
 * bound socket does not listen; it prevents the kernel from assigning the port elsewhere.
 */
class reserved_port
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    reserved_port()
    {
        const endpoint any{boost::asio::ip::address_v4::loopback(), 0};
        m_holder.open(any.protocol());
        m_holder.set_option(boost::asio::socket_base::reuse_address{true});
        m_holder.bind(any);
    }

    [[nodiscard]] endpoint address() const { return m_holder.local_endpoint(); }

    /** The address as IP:PORT. */
    [[nodiscard]] std::string text() const { return toString(address()); }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_holder{m_loop};
};

} // namespace azurelb::test
