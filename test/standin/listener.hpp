#pragma once

#include "http_types.hpp"

#include <functional>

namespace azurelb::standin {

/** Accepts connections on one address; can refuse them temporarily while keeping the port. */
class listener
{
public:
    using accept_handler = std::function<void(tcp::socket)>;

    /** Throws boost::system::system_error if the address cannot be bound. */
    listener(asio::io_context &loop, const tcp::endpoint &address, accept_handler accepted);

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_address; }

    /** While refusing, the port stays bound and connecting to it fails at once. */
    void setRefusing(bool refusing);

private:
    void bind();
    void accept();

    tcp::acceptor m_acceptor;
    tcp::endpoint m_address;
    accept_handler m_accepted;
    bool m_refusing{false};
};

} // namespace azurelb::standin
