#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/upstream/connection_options.hpp>
#include <azurelb/upstream/fwd.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace azurelb {

/** Pool of a daemon's connections to upstreams, with a limit for each upstream. */
class connection_pool
{
public:
    using value_type = upstream_connection_ptr;
    using size_type = std::size_t;

    connection_pool(boost::asio::io_context &loop, const clock_source &clock,
                    const connection_options &options);
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;
    ~connection_pool();

    /**
     * Returns an idle or a new connection. Null if connecting fails or times out, or if the limit
     * for the upstream is reached. The connection must be returned by release().
     */
    [[nodiscard]] boost::asio::awaitable<value_type> acquire(std::string address,
                                                             connection_requirement requirement);

    /** Returns a connection to the pool; it is kept if it is reusable. */
    void release(value_type connection) noexcept;

    /** Closes all connections; exchanges in progress end without a response. */
    void close() noexcept;

    /** Closes idle connections older than connection_options::maxIdleTime. Call it periodically. */
    void closeExpired();

    /** Number of connections to the upstream, in use and idle. */
    [[nodiscard]] size_type size(const std::string &address) const noexcept;

private:
    struct upstream_entry
    {
        /** Least recently used first. */
        std::deque<value_type> idle{};
        size_type inUse{0};
    };

    [[nodiscard]] value_type takeIdle(upstream_entry &entry, connection_requirement requirement);
    [[nodiscard]] boost::asio::awaitable<value_type> open(std::string address);

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    connection_options m_options;
    std::unordered_map<std::string, upstream_entry> m_upstreams{};
    std::unordered_set<upstream_connection *> m_inUse{};
};

} // namespace azurelb
