#include <azurelb/keyspace/key_revisions.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>

#include <algorithm>

namespace azurelb {

store_revision key_revisions::of(const std::string &key) const noexcept
{
    const auto found = m_revisions.find(key);
    return found == m_revisions.end() ? 0 : found->second;
}

void key_revisions::record(const keyspace_item &item)
{
    set(item.key, item.removed ? 0 : item.revision);
}

void key_revisions::apply(const keyspace_write &write, const keyspace_commit &outcome)
{
    if (outcome.error == keyspace_error::none) {
        for (const keyspace_put &each : write.operations().puts)
            set(each.key, outcome.revision);
        for (const std::string &each : write.operations().removals)
            set(each, 0);
        return;
    }
    if (outcome.error != keyspace_error::conflict)
        return;
    for (const keyspace_condition &each : write.operations().conditions) {
        const auto found =
            std::find_if(outcome.current.begin(), outcome.current.end(),
                         [&each](const keyspace_item &item) { return item.key == each.key; });
        set(each.key,
            found == outcome.current.end() || found->removed ? store_revision{0} : found->revision);
    }
}

void key_revisions::set(const std::string &key, store_revision revision)
{
    if (revision == 0) {
        m_revisions.erase(key);
        return;
    }
    // Answers may overtake each other.
    store_revision &known = m_revisions[key];
    known = std::max(known, revision);
}

} // namespace azurelb
