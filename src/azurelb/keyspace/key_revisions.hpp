#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string>
#include <unordered_map>

namespace azurelb {

/**
 * Last known revisions of the keys that this process writes. The store may execute a write that got
 * no answer seconds later; if each write requires the revision that it replaces, a late one cannot
 * replace or remove anything newer. An outdated revision costs one conflict, whose answer corrects
 * it.
 */
class key_revisions
{
public:
    /** Returns the revision of the last known change; 0 if the key is not known to exist. */
    [[nodiscard]] store_revision of(const std::string &key) const noexcept;

    /** Records the state of a key that was read. */
    void record(const keyspace_item &item);

    /** Records what the outcome of a write shows about the keys in its conditions, puts and
        removals. */
    void apply(const keyspace_write &write, const keyspace_commit &outcome);

private:
    void set(const std::string &key, store_revision revision);

    std::unordered_map<std::string, store_revision> m_revisions{};
};

} // namespace azurelb
