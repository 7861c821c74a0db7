#include "support/reserved_port.hpp"
#include "support/run_until.hpp"
#include "support/standin_process.hpp"

#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/store/etcd_store.hpp>
#include <azurelb/store/store_reply.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

namespace {

using namespace azurelb;
using test::defaultWaitLimit;
using test::standin_process;
using wire::etcd::txn_request;

constexpr std::chrono::milliseconds shortTimeout{300};
constexpr std::uint32_t longDelayMs{600'000};

txn_request putRequest(const std::string &value)
{
    txn_request request;
    auto &put = *request.add_success()->mutable_request_put();
    put.set_key("key");
    put.set_value(value);
    return request;
}

/** Writes the value if the key was last modified at the revision. */
txn_request compareAndPutRequest(const std::string &value, std::int64_t revision)
{
    txn_request request = putRequest(value);
    auto &condition = *request.add_compare();
    condition.set_key("key");
    condition.set_target(wire::etcd::compare::MOD);
    condition.set_mod_revision(revision);
    return request;
}

txn_request rangeRequest(const std::string &key)
{
    txn_request request;
    request.add_success()->mutable_request_range()->set_key(key);
    return request;
}

wire::standin::fault makeFault(void (wire::standin::fault::*set)(std::uint32_t),
                               std::uint32_t value)
{
    wire::standin::fault fault;
    (fault.*set)(value);
    return fault;
}

wire::standin::fault makeFault(void (wire::standin::fault::*set)(bool))
{
    wire::standin::fault fault;
    (fault.*set)(true);
    return fault;
}

class etcd_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(etcd_store_test);
    CPPUNIT_TEST(readsCommittedValue);
    CPPUNIT_TEST(comparesModRevisions);
    CPPUNIT_TEST(lostResponseIsUnknownAndWriteTakesEffect);
    CPPUNIT_TEST(callToUnreachableStoreIsRefused);
    CPPUNIT_TEST(triesNextEndpoint);
    CPPUNIT_TEST(timeoutIsUnknown);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(connectionClosedByPeerIsReplaced);
    CPPUNIT_TEST(reconnectsToRestartedStore);
    CPPUNIT_TEST(truncatedResponseIsUnknown);
    CPPUNIT_TEST(responseToOtherRequestIsMalformed);
    CPPUNIT_TEST(invalidTransactionIsRefused);
    CPPUNIT_TEST(serverErrorIsUnknown);
    CPPUNIT_TEST(concurrentCallsAllComplete);
    CPPUNIT_TEST(waitingCallsCompleteByDeadline);
    CPPUNIT_TEST(countsCallsSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsCommittedValue()
    {
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void comparesModRevisions()
    {
        const auto revision = commit(putRequest("a")).response.header().revision();
        const store_reply current = commit(compareAndPutRequest("b", revision));
        CPPUNIT_ASSERT(current.error == store_error::none && current.response.succeeded());
        const store_reply outdated = commit(compareAndPutRequest("c", revision));
        CPPUNIT_ASSERT(outdated.error == store_error::none && !outdated.response.succeeded());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, value());
    }

    void lostResponseIsUnknownAndWriteTakesEffect()
    {
        m_process.setFault(makeFault(&wire::standin::fault::set_answer_lost, 1));
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void callToUnreachableStoreIsRefused()
    {
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::none);
        m_process.setFault(makeFault(&wire::standin::fault::set_down));
        CPPUNIT_ASSERT(commit(putRequest("b")).error == store_error::refused);
        CPPUNIT_ASSERT(!m_store.reachable());
        m_process.clearFault();
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
        CPPUNIT_ASSERT(m_store.reachable());
    }

    void triesNextEndpoint()
    {
        standin_process other{"store"};
        other.setFault(makeFault(&wire::standin::fault::set_down));
        etcd_store client{m_loop, m_clock, {{other.address(), m_process.address()}}};
        CPPUNIT_ASSERT(commitTo(client, putRequest("a"), defaultWaitLimit).error
                       == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void timeoutIsUnknown()
    {
        m_process.setFault(makeFault(&wire::standin::fault::set_slow_ms, longDelayMs));
        CPPUNIT_ASSERT(commitTo(m_store, putRequest("a"), shortTimeout).error
                       == store_error::unknown);
        CPPUNIT_ASSERT(!m_store.reachable());
    }

    void silentConnectionIsReplaced()
    {
        standin_process forwarder{"forwarder", {"--target=" + toString(m_process.address())}};
        etcd_store client{m_loop, m_clock, {{forwarder.address()}}};
        CPPUNIT_ASSERT(commitTo(client, putRequest("a"), defaultWaitLimit).error
                       == store_error::none);
        wire::standin::fault cut;
        cut.set_cut(wire::standin::CUT_SILENT_OLD);
        forwarder.setFault(cut);
        CPPUNIT_ASSERT(commitTo(client, putRequest("b"), shortTimeout).error
                       == store_error::unknown);
        CPPUNIT_ASSERT(commitTo(client, putRequest("c"), defaultWaitLimit).error
                       == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, value());
    }

    void connectionClosedByPeerIsReplaced()
    {
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::none);
        m_process.setFault(makeFault(&wire::standin::fault::set_down));
        m_process.clearFault();
        CPPUNIT_ASSERT(commit(putRequest("b")).error == store_error::none);
    }

    void reconnectsToRestartedStore()
    {
        const test::reserved_port port;
        const std::vector<std::string> flags{"--listen=" + port.text()};
        std::optional<standin_process> first{std::in_place, "store", flags};
        etcd_store client{m_loop, m_clock, {{port.address()}}};
        CPPUNIT_ASSERT(commitTo(client, putRequest("a"), defaultWaitLimit).error
                       == store_error::none);
        first.reset();
        CPPUNIT_ASSERT(commitTo(client, putRequest("b"), defaultWaitLimit).error
                       == store_error::refused);
        const standin_process second{"store", flags};
        CPPUNIT_ASSERT(commitTo(client, putRequest("c"), defaultWaitLimit).error
                       == store_error::none);
    }

    void truncatedResponseIsUnknown()
    {
        m_process.setFault(makeFault(&wire::standin::fault::set_truncated, 1));
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::unknown);
    }

    void responseToOtherRequestIsMalformed()
    {
        txn_request twice = rangeRequest("key");
        twice.add_success()->mutable_request_range()->set_key("other");
        CPPUNIT_ASSERT(commit(twice).error == store_error::none);
        m_process.setFault(makeFault(&wire::standin::fault::set_crossed, 1));
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::malformed);
    }

    void invalidTransactionIsRefused()
    {
        txn_request twice = putRequest("a");
        *twice.add_success() = twice.success(0);
        CPPUNIT_ASSERT(commit(twice).error == store_error::refused);
        CPPUNIT_ASSERT(m_store.reachable());
    }

    void serverErrorIsUnknown()
    {
        wire::standin::fault failing;
        failing.set_failing(wire::standin::FAILING_ERROR);
        m_process.setFault(failing);
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::unknown);
        m_process.clearFault();
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void concurrentCallsAllComplete()
    {
        constexpr int calls = 200;
        constexpr std::uint32_t maxConnections = 4;
        int ended = 0;
        for (int call = 0; call < calls; ++call) {
            m_store.commit(putRequest("a"), defaultWaitLimit, [&ended](const store_reply &reply) {
                ended += reply.error == store_error::none;
            });
        }
        CPPUNIT_ASSERT_EQUAL(0, ended);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&ended] { return ended == calls; }));
        CPPUNIT_ASSERT(m_process.status().most_connections() <= maxConnections);
    }

    void waitingCallsCompleteByDeadline()
    {
        constexpr int calls = 12;
        m_process.setFault(makeFault(&wire::standin::fault::set_silent));
        int ended = 0;
        for (int call = 0; call < calls; ++call)
            m_store.read(rangeRequest("key"), shortTimeout,
                         [&ended](const store_reply &) { ++ended; });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&ended] { return ended == calls; }));
    }

    void countsCallsSent()
    {
        CPPUNIT_ASSERT(commit(putRequest("a")).error == store_error::none);
        m_process.setFault(makeFault(&wire::standin::fault::set_down));
        CPPUNIT_ASSERT(commit(putRequest("b")).error == store_error::refused);
        CPPUNIT_ASSERT_EQUAL(etcd_store::size_type{1}, m_store.sentCalls());
    }

private:
    store_reply commitTo(store &to, const txn_request &request, std::chrono::milliseconds timeout)
    {
        std::optional<store_reply> got;
        to.commit(request, timeout, [&got](const store_reply &reply) { got = reply; });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got.has_value(); }));
        return *got;
    }

    store_reply commit(const txn_request &request)
    {
        return commitTo(m_store, request, defaultWaitLimit);
    }

    std::string value()
    {
        const store_reply reply = commit(rangeRequest("key"));
        CPPUNIT_ASSERT(reply.error == store_error::none);
        const auto &found = reply.response.responses(0).response_range();
        return found.kvs_size() == 0 ? std::string{} : found.kvs(0).value();
    }

    standin_process m_process{"store"};
    boost::asio::io_context m_loop;
    steady_clock_source m_clock;
    etcd_store m_store{m_loop, m_clock, {{m_process.address()}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(etcd_store_test);

} // namespace
