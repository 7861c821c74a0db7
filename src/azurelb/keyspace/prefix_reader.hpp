#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace azurelb {

/**
 * Reads all items whose keys begin with a prefix once, page by page, and repeats failed reads. The
 * pages are no snapshot: the caller must prevent changes meanwhile or accept them. Destroying the
 * reader drops its handlers.
 */
class prefix_reader
{
public:
    using item_handler = std::function<void(const keyspace_item &)>;
    using done_handler = std::function<void()>;

    /** onDone is called once, after onItem for the last item. */
    prefix_reader(boost::asio::io_context &loop, keyspace &from, std::string prefix,
                  item_handler onItem, done_handler onDone);

    void start() { readPage({}); }

private:
    void readPage(const std::string &after);

    keyspace &m_keyspace;
    std::string m_prefix;
    item_handler m_onItem;
    done_handler m_onDone;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
