#include <azurelb/core/clock_source.hpp>
#include <azurelb/upstream/connection_pool.hpp>
#include <azurelb/upstream/connection_requirement.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

namespace azurelb {

namespace asio = boost::asio;

namespace {

/** Increments the counter, and decrements it again on destruction unless dismissed. */
class use_counter
{
public:
    explicit use_counter(std::size_t &count) noexcept
        : m_count{&count}
    {
        ++count;
    }
    use_counter(const use_counter &) = delete;
    use_counter &operator=(const use_counter &) = delete;
    ~use_counter()
    {
        if (m_count)
            --*m_count;
    }

    void dismiss() noexcept { m_count = nullptr; }

private:
    std::size_t *m_count;
};

} // namespace

connection_pool::connection_pool(asio::io_context &loop, const clock_source &clock,
                                 const connection_options &options)
    : m_loop{loop}
    , m_clock{clock}
    , m_options{options}
{ }

connection_pool::~connection_pool() = default;

asio::awaitable<connection_pool::value_type>
connection_pool::acquire(std::string address, connection_requirement requirement)
{
    upstream_entry &entry = m_upstreams[address];
    if (value_type found = takeIdle(entry, requirement)) {
        ++entry.inUse;
        m_inUse.insert(found.get());
        co_return found;
    }
    if (entry.inUse >= m_options.maxPerUpstream)
        co_return nullptr;
    if (entry.inUse + entry.idle.size() >= m_options.maxPerUpstream)
        entry.idle.pop_front();
    use_counter counted{entry.inUse};
    value_type opened = co_await open(std::move(address));
    if (opened) {
        counted.dismiss();
        m_inUse.insert(opened.get());
    }
    co_return opened;
}

void connection_pool::release(value_type connection) noexcept
{
    upstream_entry &entry = m_upstreams[connection->address()];
    --entry.inUse;
    m_inUse.erase(connection.get());
    if (connection->isReusable())
        entry.idle.push_back(std::move(connection));
}

void connection_pool::close() noexcept
{
    for (upstream_connection *each : m_inUse)
        each->close();
    for (auto &[address, entry] : m_upstreams)
        entry.idle.clear();
}

void connection_pool::closeExpired()
{
    const time_point oldest = m_clock.now() - m_options.maxIdleTime;
    for (auto &[address, entry] : m_upstreams) {
        while (!entry.idle.empty() && entry.idle.front()->lastVerifiedAt() < oldest)
            entry.idle.pop_front();
    }
    std::erase_if(m_upstreams, [](const auto &each) {
        return each.second.inUse == 0 && each.second.idle.empty();
    });
}

connection_pool::size_type connection_pool::size(const std::string &address) const noexcept
{
    const auto found = m_upstreams.find(address);
    return found == m_upstreams.end() ? 0 : found->second.inUse + found->second.idle.size();
}

connection_pool::value_type connection_pool::takeIdle(upstream_entry &entry,
                                                      connection_requirement requirement)
{
    const auto age = requirement == connection_requirement::recently_verified
        ? m_options.maxVerifiedAge
        : m_options.maxIdleTime;
    const time_point oldest = m_clock.now() - age;
    // The most recently used connection is at the back: if it is too old, all are.
    while (!entry.idle.empty() && entry.idle.back()->lastVerifiedAt() >= oldest) {
        value_type candidate = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (candidate->isReusable())
            return candidate;
    }
    return nullptr;
}

asio::awaitable<connection_pool::value_type> connection_pool::open(std::string address)
{
    auto connection =
        std::make_unique<upstream_connection>(m_loop, m_clock, m_options, std::move(address));
    if (co_await connection->connect())
        co_return connection;
    co_return nullptr;
}

} // namespace azurelb
