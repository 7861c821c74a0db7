#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <support/fake_keyspace.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace azurelb::soak {

/** Faults of the simulated store. */
struct store_faults
{
    /** Answers 503 to all calls. */
    bool down{false};
    std::chrono::milliseconds delay{0};
    /** Number of commits out of ten that take effect although their reply is not sent in time. */
    unsigned lostRepliesPerTen{0};
    /** Number of commits out of ten that get no reply and are executed 1 to 6 s later, if their
        conditions hold then. */
    unsigned lateCommitsPerTen{0};
    /** Only commits that change keys with this prefix are executed late. */
    std::string lateKeyPrefix{};
};

/** Simulates the platform's store and VM list over the published HTTP protocol. */
class store_endpoint
{
public:
    using vm_list_source = std::function<std::string()>;
    /** Carries out the maintenance of a VM for a wave; returns false if it is not possible. */
    using maintenance_handler = std::function<bool(const std::string &vm, std::int64_t wave)>;

    store_endpoint(boost::asio::io_context &loop, vm_list_source vms, maintenance_handler maintain);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] test::fake_keyspace &state() noexcept { return m_state; }
    [[nodiscard]] store_faults &faults() noexcept { return m_faults; }

    /** Expires overdue leases, except while the store is down. */
    void expireLeases(boot_time now);

private:
    using answer = boost::asio::awaitable<http_response>;

    answer serve(const http_request &request);
    answer read(const std::string &target);
    answer watch(const std::string &target);
    answer commit(const std::string &body);
    [[nodiscard]] bool isExecutedLate(const keyspace_operations &write);
    boost::asio::awaitable<void> executeLater(keyspace_operations write);
    [[nodiscard]] http_response maintain(const std::string &body);
    answer grant(const std::string &body);
    answer renew(const std::string &target);
    answer sleepFor(std::chrono::milliseconds time);

    boost::asio::io_context &m_loop;
    vm_list_source m_vms;
    maintenance_handler m_maintain;
    test::fake_keyspace m_state;
    store_faults m_faults{};
    unsigned m_commits{0};
    std::minstd_rand m_random{1};
    std::map<store_lease_id, std::chrono::milliseconds> m_leaseTerms{};
    std::map<store_lease_id, boot_time> m_leaseEnds{};
    http_server m_server;
};

} // namespace azurelb::soak
