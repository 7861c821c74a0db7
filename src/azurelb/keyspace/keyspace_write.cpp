#include <azurelb/keyspace/keyspace_write.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace azurelb {

keyspace_write &keyspace_write::require(std::string key, store_revision revision)
{
    m_operations.conditions.push_back({std::move(key), revision});
    return *this;
}

keyspace_write &keyspace_write::replace(keyspace_put put, store_revision replaced)
{
    require(put.key, replaced);
    m_operations.puts.push_back(std::move(put));
    return *this;
}

keyspace_write &keyspace_write::remove(std::string key, store_revision removed)
{
    require(key, removed);
    m_operations.removals.push_back(std::move(key));
    return *this;
}

keyspace_write &keyspace_write::putBeside([[maybe_unused]] const std::string &guard,
                                          keyspace_put put)
{
    assert(std::any_of(m_operations.puts.begin(), m_operations.puts.end(),
                       [&guard](const keyspace_put &each) { return each.key == guard; }));
    m_operations.puts.push_back(std::move(put));
    return *this;
}

keyspace_write &keyspace_write::append(const keyspace_write &other)
{
    const auto append = [](auto &to, const auto &from) {
        to.insert(to.end(), from.begin(), from.end());
    };
    append(m_operations.conditions, other.m_operations.conditions);
    append(m_operations.puts, other.m_operations.puts);
    append(m_operations.removals, other.m_operations.removals);
    return *this;
}

std::size_t keyspace_write::size() const noexcept
{
    return m_operations.conditions.size() + m_operations.puts.size() + m_operations.removals.size();
}

} // namespace azurelb
