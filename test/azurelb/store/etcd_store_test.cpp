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
constexpr std::uint32_t tooSlowMs{600'000};

txn_request putOf(const std::string &value)
{
    txn_request made;
    auto &put = *made.add_success()->mutable_request_put();
    put.set_key("key");
    put.set_value(value);
    return made;
}

/** Writes the value if the key was last changed at that revision. */
txn_request swapOf(const std::string &value, std::int64_t revision)
{
    txn_request made = putOf(value);
    auto &condition = *made.add_compare();
    condition.set_key("key");
    condition.set_target(wire::etcd::compare::MOD);
    condition.set_mod_revision(revision);
    return made;
}

txn_request getOf(const std::string &key)
{
    txn_request made;
    made.add_success()->mutable_request_range()->set_key(key);
    return made;
}

wire::standin::fault faultOf(void (wire::standin::fault::*set)(std::uint32_t), std::uint32_t value)
{
    wire::standin::fault made;
    (made.*set)(value);
    return made;
}

wire::standin::fault faultOf(void (wire::standin::fault::*set)(bool))
{
    wire::standin::fault made;
    (made.*set)(true);
    return made;
}

class etcd_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(etcd_store_test);
    CPPUNIT_TEST(commitsAndReadsBack);
    CPPUNIT_TEST(comparesRevisions);
    CPPUNIT_TEST(lostAnswerIsUnknownAndItsEffectVisible);
    CPPUNIT_TEST(storeDownIsRefused);
    CPPUNIT_TEST(nextEndpointIsTried);
    CPPUNIT_TEST(slowStoreIsUnknown);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(connectionClosedByThePeerIsReplaced);
    CPPUNIT_TEST(restartedStoreIsFound);
    CPPUNIT_TEST(truncatedAnswerIsUnknown);
    CPPUNIT_TEST(crossedAnswerIsMalformed);
    CPPUNIT_TEST(invalidTransactionIsRefused);
    CPPUNIT_TEST(failingStoreIsUnknown);
    CPPUNIT_TEST(manyCallsAtOnceAllEnd);
    CPPUNIT_TEST(waitingCallsEndInTime);
    CPPUNIT_TEST(countsCallsSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void commitsAndReadsBack()
    {
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void comparesRevisions()
    {
        const auto revision = commit(putOf("a")).response.header().revision();
        const store_reply won = commit(swapOf("b", revision));
        CPPUNIT_ASSERT(won.error == store_error::none && won.response.succeeded());
        const store_reply lost = commit(swapOf("c", revision));
        CPPUNIT_ASSERT(lost.error == store_error::none && !lost.response.succeeded());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, value());
    }

    void lostAnswerIsUnknownAndItsEffectVisible()
    {
        m_process.setFault(faultOf(&wire::standin::fault::set_answer_lost, 1));
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void storeDownIsRefused()
    {
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::none);
        m_process.setFault(faultOf(&wire::standin::fault::set_down));
        CPPUNIT_ASSERT(commit(putOf("b")).error == store_error::refused);
        CPPUNIT_ASSERT(!m_store.reachable());
        m_process.clearFault();
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
        CPPUNIT_ASSERT(m_store.reachable());
    }

    void nextEndpointIsTried()
    {
        standin_process other{"store"};
        other.setFault(faultOf(&wire::standin::fault::set_down));
        etcd_store both{m_loop, m_clock, {{other.address(), m_process.address()}}};
        CPPUNIT_ASSERT(commitTo(both, putOf("a"), defaultWaitLimit).error == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void slowStoreIsUnknown()
    {
        m_process.setFault(faultOf(&wire::standin::fault::set_slow_ms, tooSlowMs));
        CPPUNIT_ASSERT(commitTo(m_store, putOf("a"), shortTimeout).error == store_error::unknown);
        CPPUNIT_ASSERT(!m_store.reachable());
    }

    void silentConnectionIsReplaced()
    {
        standin_process forwarder{"forwarder", {"--target=" + toString(m_process.address())}};
        etcd_store distant{m_loop, m_clock, {{forwarder.address()}}};
        CPPUNIT_ASSERT(commitTo(distant, putOf("a"), defaultWaitLimit).error == store_error::none);
        wire::standin::fault cut;
        cut.set_cut(wire::standin::CUT_SILENT_OLD);
        forwarder.setFault(cut);
        CPPUNIT_ASSERT(commitTo(distant, putOf("b"), shortTimeout).error == store_error::unknown);
        CPPUNIT_ASSERT(commitTo(distant, putOf("c"), defaultWaitLimit).error == store_error::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, value());
    }

    void connectionClosedByThePeerIsReplaced()
    {
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::none);
        m_process.setFault(faultOf(&wire::standin::fault::set_down));
        m_process.clearFault();
        CPPUNIT_ASSERT(commit(putOf("b")).error == store_error::none);
    }

    void restartedStoreIsFound()
    {
        const test::reserved_port port;
        const std::vector<std::string> flags{"--listen=" + port.text()};
        std::optional<standin_process> first{std::in_place, "store", flags};
        etcd_store client{m_loop, m_clock, {{port.address()}}};
        CPPUNIT_ASSERT(commitTo(client, putOf("a"), defaultWaitLimit).error == store_error::none);
        first.reset();
        CPPUNIT_ASSERT(commitTo(client, putOf("b"), defaultWaitLimit).error
                       == store_error::refused);
        const standin_process second{"store", flags};
        CPPUNIT_ASSERT(commitTo(client, putOf("c"), defaultWaitLimit).error == store_error::none);
    }

    void truncatedAnswerIsUnknown()
    {
        m_process.setFault(faultOf(&wire::standin::fault::set_truncated, 1));
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::unknown);
    }

    void crossedAnswerIsMalformed()
    {
        txn_request twice = getOf("key");
        twice.add_success()->mutable_request_range()->set_key("other");
        CPPUNIT_ASSERT(commit(twice).error == store_error::none);
        m_process.setFault(faultOf(&wire::standin::fault::set_crossed, 1));
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::malformed);
    }

    void invalidTransactionIsRefused()
    {
        txn_request twice = putOf("a");
        *twice.add_success() = twice.success(0);
        CPPUNIT_ASSERT(commit(twice).error == store_error::refused);
        CPPUNIT_ASSERT(m_store.reachable());
    }

    void failingStoreIsUnknown()
    {
        wire::standin::fault failing;
        failing.set_failing(wire::standin::FAILING_ERROR);
        m_process.setFault(failing);
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::unknown);
        m_process.clearFault();
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, value());
    }

    void manyCallsAtOnceAllEnd()
    {
        constexpr int calls = 200;
        constexpr std::uint32_t poolSize = 4;
        int ended = 0;
        for (int call = 0; call < calls; ++call) {
            m_store.commit(putOf("a"), defaultWaitLimit, [&ended](const store_reply &reply) {
                ended += reply.error == store_error::none;
            });
        }
        CPPUNIT_ASSERT_EQUAL(0, ended);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&ended] { return ended == calls; }));
        CPPUNIT_ASSERT(m_process.status().most_connections() <= poolSize);
    }

    void waitingCallsEndInTime()
    {
        constexpr int calls = 12;
        m_process.setFault(faultOf(&wire::standin::fault::set_silent));
        int ended = 0;
        for (int call = 0; call < calls; ++call)
            m_store.read(getOf("key"), shortTimeout, [&ended](const store_reply &) { ++ended; });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&ended] { return ended == calls; }));
    }

    void countsCallsSent()
    {
        CPPUNIT_ASSERT(commit(putOf("a")).error == store_error::none);
        m_process.setFault(faultOf(&wire::standin::fault::set_down));
        CPPUNIT_ASSERT(commit(putOf("b")).error == store_error::refused);
        CPPUNIT_ASSERT_EQUAL(etcd_store::size_type{1}, m_store.calls());
    }

private:
    store_reply commitTo(store &to, const txn_request &asked, std::chrono::milliseconds timeout)
    {
        std::optional<store_reply> got;
        to.commit(asked, timeout, [&got](const store_reply &reply) { got = reply; });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got.has_value(); }));
        return *got;
    }

    store_reply commit(const txn_request &asked)
    {
        return commitTo(m_store, asked, defaultWaitLimit);
    }

    std::string value()
    {
        const store_reply reply = commit(getOf("key"));
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
