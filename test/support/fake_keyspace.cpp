#include <support/fake_keyspace.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace azurelb::test {

fake_keyspace::fake_keyspace(boost::asio::io_context &loop)
    : m_loop{loop}
{ }

template <typename Handler, typename Result>
void fake_keyspace::reply(Handler done, Result result)
{
    boost::asio::post(m_loop, [done = std::move(done), result = std::move(result)]() mutable {
        done(std::move(result));
    });
}

const keyspace_item *fake_keyspace::find(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

store_lease_id fake_keyspace::leaseOf(const std::string &key) const
{
    const auto found = m_leases.find(key);
    return found == m_leases.end() ? 0 : found->second;
}

void fake_keyspace::get(const std::string &key, range_handler done)
{
    keyspace_range range;
    const keyspace_item *const found = find(key);
    range.error = refuseCalls ? keyspace_error::refused
        : found               ? keyspace_error::none
                              : keyspace_error::missing;
    if (range.error == keyspace_error::none)
        range.items.push_back(*found);
    range.revision = m_revision;
    reply(std::move(done), std::move(range));
}

void fake_keyspace::range(const std::string &prefix, const std::string &after, range_handler done)
{
    keyspace_range range;
    range.revision = m_revision;
    if (refuseCalls)
        range.error = keyspace_error::refused;
    for (auto each = m_items.upper_bound(after); !refuseCalls && each != m_items.end(); ++each) {
        if (!each->first.starts_with(prefix))
            continue;
        if (range.items.size() == pageSize) {
            range.more = true;
            break;
        }
        range.items.push_back(each->second);
    }
    reply(std::move(done), std::move(range));
}

void fake_keyspace::commit(const keyspace_write &write, commit_handler done)
{
    execute(write.operations(), std::move(done));
}

void fake_keyspace::execute(const keyspace_operations &write, commit_handler done)
{
    ++commits;
    keyspace_commit outcome;
    if (refuseCalls) {
        outcome.error = keyspace_error::refused;
        reply(std::move(done), std::move(outcome));
        return;
    }
    if (lateCommits > 0) {
        --lateCommits;
        m_lateWrites.push_back(write);
        reply(std::move(done), keyspace_commit{keyspace_error::unknown, 0, {}});
        return;
    }
    bool holds = true;
    for (const keyspace_condition &each : write.conditions) {
        const keyspace_item *const found = find(each.key);
        outcome.current.push_back(found ? *found : keyspace_item{each.key, {}, 0, false});
        holds = holds && outcome.current.back().revision == each.revision;
    }
    for (const keyspace_put &each : write.puts) {
        if (each.lease != 0 && !m_liveLeases[each.lease]) {
            outcome.error = keyspace_error::missing;
            reply(std::move(done), std::move(outcome));
            return;
        }
    }
    if (holds) {
        apply(write);
        outcome.revision = m_revision;
        if (onCommit)
            onCommit();
    } else {
        outcome.error = keyspace_error::conflict;
    }
    if (lostCommitReplies > 0) {
        --lostCommitReplies;
        outcome = {keyspace_error::unknown, 0, {}};
    }
    reply(std::move(done), std::move(outcome));
}

void fake_keyspace::executeLateCommits()
{
    for (const keyspace_operations &each : std::exchange(m_lateWrites, {}))
        execute(each, [](keyspace_commit &&) {});
}

void fake_keyspace::apply(const keyspace_operations &write)
{
    ++m_revision;
    for (const keyspace_put &each : write.puts) {
        m_leases[each.key] = each.lease;
        change({each.key, each.value, m_revision, false});
    }
    for (const std::string &each : write.removals)
        change({each, {}, m_revision, true});
    notifyWatches();
}

void fake_keyspace::change(keyspace_item item)
{
    if (item.removed)
        m_items.erase(item.key);
    else
        m_items[item.key] = item;
    m_history.push_back(std::move(item));
}

store_revision fake_keyspace::put(const std::string &key, const std::string &value)
{
    apply({{}, {{key, value, 0}}, {}});
    return m_revision;
}

void fake_keyspace::remove(const std::string &key)
{
    apply({{}, {}, {key}});
}

void fake_keyspace::endLease(store_lease_id lease)
{
    m_liveLeases[lease] = false;
    std::vector<std::string> keys;
    for (const auto &[key, held] : m_leases) {
        if (held == lease && m_items.contains(key))
            keys.push_back(key);
    }
    for (const std::string &each : keys)
        remove(each);
}

void fake_keyspace::grant(std::chrono::milliseconds term, lease_handler done)
{
    if (refuseCalls) {
        reply(std::move(done), keyspace_lease{keyspace_error::refused, 0, {}});
        return;
    }
    m_liveLeases[++m_lastLease] = true;
    reply(std::move(done), keyspace_lease{keyspace_error::none, m_lastLease, term});
}

void fake_keyspace::renew(store_lease_id lease, lease_handler done)
{
    const keyspace_error error = refuseCalls ? keyspace_error::refused
        : m_liveLeases[lease]                ? keyspace_error::none
                                             : keyspace_error::missing;
    reply(std::move(done), keyspace_lease{error, lease, {}});
}

void fake_keyspace::revoke(store_lease_id lease, lease_handler done)
{
    endLease(lease);
    reply(std::move(done), keyspace_lease{keyspace_error::none, lease, {}});
}

keyspace_changes fake_keyspace::changesSince(const std::string &prefix, store_revision after) const
{
    keyspace_changes changes;
    if (after < m_firstRevision) {
        changes.error = keyspace_error::missing;
        return changes;
    }
    for (const keyspace_item &each : m_history) {
        if (each.revision > after && each.key.starts_with(prefix))
            changes.items.push_back(each);
    }
    changes.revision = m_revision;
    return changes;
}

void fake_keyspace::watch(const std::string &prefix, store_revision after,
                          std::chrono::milliseconds wait, changes_handler done)
{
    if (refuseCalls) {
        reply(std::move(done), keyspace_changes{keyspace_error::refused, {}, 0});
        return;
    }
    const std::uint64_t number = ++m_lastWatch;
    m_watches.push_back({prefix, after, std::move(done), number});
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, wait);
    timer->async_wait([this, timer, number](const boost::system::error_code &cancelled) {
        if (!cancelled)
            expireWatch(number);
    });
    notifyWatches();
}

void fake_keyspace::expireWatch(std::uint64_t number)
{
    const auto found =
        std::find_if(m_watches.begin(), m_watches.end(),
                     [number](const pending_watch &each) { return each.number == number; });
    if (found == m_watches.end() || silentWatches)
        return;
    changes_handler done = std::move(found->done);
    keyspace_changes changes = changesSince(found->prefix, found->after);
    m_watches.erase(found);
    reply(std::move(done), std::move(changes));
}

void fake_keyspace::notifyWatches()
{
    if (silentWatches)
        return;
    std::vector<pending_watch> waiting;
    for (pending_watch &each : std::exchange(m_watches, {})) {
        keyspace_changes changes = changesSince(each.prefix, each.after);
        if (changes.items.empty() && changes.error == keyspace_error::none)
            waiting.push_back(std::move(each));
        else
            reply(std::move(each.done), std::move(changes));
    }
    m_watches.insert(m_watches.end(), std::make_move_iterator(waiting.begin()),
                     std::make_move_iterator(waiting.end()));
}

} // namespace azurelb::test
