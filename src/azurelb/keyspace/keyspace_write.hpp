#pragma once

#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/keyspace_operations.hpp>

#include <cstddef>
#include <string>

namespace azurelb {

/**
 * Atomic write that names the revision of each key that it replaces or removes. The store may
 * execute a write without an answer seconds later; by then, each newer write of the same keys has
 * changed their revisions, so that the late one fails.
 */
class keyspace_write
{
public:
    /** Requires that the key was last changed at this revision; 0: that it does not exist. */
    keyspace_write &require(std::string key, store_revision revision);

    /** Replaces the value of the revision; 0 creates the key. */
    keyspace_write &replace(keyspace_put put, store_revision replaced);

    /** Removes the key at the revision; 0 has no effect if the key does not exist. */
    keyspace_write &remove(std::string key, store_revision removed);

    /** Puts a key that is only ever written together with `guard`, which this write replaces:
        the revision of the guard stands for its own. */
    keyspace_write &putBeside(const std::string &guard, keyspace_put put);

    /** Adds all operations of another write. */
    keyspace_write &append(const keyspace_write &other);

    [[nodiscard]] const keyspace_operations &operations() const noexcept { return m_operations; }

    /** Number of entries, as limited by keyspace::maxWriteEntries. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** Whether nothing is written. */
    [[nodiscard]] bool empty() const noexcept
    {
        return m_operations.puts.empty() && m_operations.removals.empty();
    }

private:
    keyspace_operations m_operations{};
};

} // namespace azurelb
