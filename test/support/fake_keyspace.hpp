#pragma once

#include <azurelb/keyspace/keyspace.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurelb::test {

/** In-memory keyspace with injectable faults. Handlers are called from the event loop. */
class fake_keyspace final : public keyspace
{
public:
    explicit fake_keyspace(boost::asio::io_context &loop);

    void get(const std::string &key, range_handler done) override;
    void range(const std::string &prefix, const std::string &after, range_handler done) override;
    void commit(const keyspace_write &write, commit_handler done) override;
    void grant(std::chrono::milliseconds term, lease_handler done) override;
    void renew(store_lease_id lease, lease_handler done) override;
    void revoke(store_lease_id lease, lease_handler done) override;
    void watch(const std::string &prefix, store_revision after, std::chrono::milliseconds wait,
               changes_handler done) override;

    /** Executes the operations of another client, which may lack conditions. */
    void execute(const keyspace_operations &operations, commit_handler done);

    /** Writes a key on behalf of another client. */
    store_revision put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void endLease(store_lease_id lease);
    /** Compacts the history: watches from an earlier revision fail. */
    void dropHistory() { m_firstRevision = m_revision + 1; }

    [[nodiscard]] const keyspace_item *find(const std::string &key) const;

    /** Returns the lease with which the key is removed; 0 if it has none. */
    [[nodiscard]] store_lease_id leaseOf(const std::string &key) const;
    [[nodiscard]] store_lease_id lastGrantedLease() const noexcept { return m_lastLease; }

    /** Executes the late commits whose conditions hold. */
    void executeLateCommits();

    /** Refuses all calls except revoke, without effect. */
    bool refuseCalls{false};
    /** Watches get no answer, as on a connection that has gone silent. */
    bool silentWatches{false};
    /** Number of commits that take effect but report an unknown outcome. */
    unsigned lostCommitReplies{0};
    /** Number of commits that report an unknown outcome and are executed by executeLateCommits().
     */
    unsigned lateCommits{0};
    /** Number of items in one page. */
    std::size_t pageSize{2};
    unsigned commits{0};
    /** Called after each commit that takes effect. */
    std::function<void()> onCommit{};

private:
    struct pending_watch
    {
        std::string prefix{};
        store_revision after{0};
        changes_handler done{};
        std::uint64_t number{0};
    };

    void apply(const keyspace_operations &write);
    void change(keyspace_item item);
    void notifyWatches();
    void expireWatch(std::uint64_t number);
    [[nodiscard]] keyspace_changes changesSince(const std::string &prefix,
                                                store_revision after) const;
    template <typename Handler, typename Result>
    void reply(Handler done, Result result);

    boost::asio::io_context &m_loop;
    std::map<std::string, keyspace_item> m_items{};
    std::map<std::string, store_lease_id> m_leases{};
    std::vector<keyspace_item> m_history{};
    std::vector<pending_watch> m_watches{};
    std::vector<keyspace_operations> m_lateWrites{};
    std::uint64_t m_lastWatch{0};
    store_revision m_revision{1};
    store_revision m_firstRevision{0};
    store_lease_id m_lastLease{0};
    std::map<store_lease_id, bool> m_liveLeases{};
};

} // namespace azurelb::test
