#include "support/reserved_port.hpp"
#include "support/run_until.hpp"
#include "support/standin_process.hpp"

#include <azurelb/peer/nng_handle.hpp>
#include <azurelb/peer/nng_transport.hpp>
#include <azurelb/peer/transport_error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <optional>

namespace {

using namespace azurelb;
using internal::nng_handle;

constexpr std::string_view serviceName{"test"};
const vm_id first{"vm-1"};
const vm_id second{"vm-2"};

/** A push socket that sends arbitrary bytes to a transport. */
class raw_peer
{
public:
    explicit raw_peer(std::uint16_t port)
        : m_socket{open()}
    {
        nng_pipe_notify(m_socket.get(), NNG_PIPE_EV_REM_POST, &raw_peer::onPipeRemoved, this);
        const std::string url = "tcp://127.0.0.1:" + std::to_string(port);
        CPPUNIT_ASSERT_EQUAL(0, nng_dial(m_socket.get(), url.c_str(), nullptr, 0));
    }

    ~raw_peer() { nng_pipe_notify(m_socket.get(), NNG_PIPE_EV_REM_POST, nullptr, nullptr); }

    void send(std::string bytes)
    {
        CPPUNIT_ASSERT_EQUAL(0, nng_send(m_socket.get(), bytes.data(), bytes.size(), 0));
    }

    [[nodiscard]] bool pipeRemoved() const { return m_pipeRemoved; }

private:
    static nng_socket open()
    {
        nng_socket socket;
        CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&socket));
        return socket;
    }

    static void onPipeRemoved(nng_pipe, nng_pipe_ev, void *self)
    {
        static_cast<raw_peer *>(self)->m_pipeRemoved = true;
    }

    std::atomic<bool> m_pipeRemoved{false};
    nng_handle m_socket;
};

wire::envelope envelopeWithPayload(const std::string &text)
{
    wire::envelope envelope;
    envelope.set_payload(text);
    return envelope;
}

std::string envelopeBytes(const std::string &from, std::uint64_t sender,
                          std::string_view service = serviceName)
{
    wire::envelope envelope;
    envelope.set_from_vm(from);
    envelope.set_from_incarnation(sender);
    envelope.set_service(std::string{service});
    return envelope.SerializeAsString();
}

class nng_transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(nng_transport_test);
    CPPUNIT_TEST(deliversMessagesInOrder);
    CPPUNIT_TEST(envelopeNamesSender);
    CPPUNIT_TEST(deliversToSelfAsynchronously);
    CPPUNIT_TEST(reconnectsToRestartedPeer);
    CPPUNIT_TEST(reconnectsAtNewAddress);
    CPPUNIT_TEST(dropsMessagesWithoutBlocking);
    CPPUNIT_TEST(dropsMessagesToUnknownPeers);
    CPPUNIT_TEST(dropsOversizedMessages);
    CPPUNIT_TEST(deliversLargeMessages);
    CPPUNIT_TEST(silentConnectionIsReplacedByRedial);
    CPPUNIT_TEST(redialDropsQueuedMessages);
    CPPUNIT_TEST(countsRejectedMessages);
    CPPUNIT_TEST(closesReplacedConnection);
    CPPUNIT_TEST(addressInUseIsAnError);
    CPPUNIT_TEST(invalidPeerAddressAffectsNoOtherPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    void deliversMessagesInOrder()
    {
        connectSender();
        // Fewer than the send buffer holds, so that none is dropped.
        constexpr int count = 50;
        for (int number = 0; number < count; ++number)
            m_sender.send(second, serviceName, envelopeWithPayload(std::to_string(number)));
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_payloads.size() == count; }));
        for (int number = 0; number < count; ++number)
            CPPUNIT_ASSERT_EQUAL(std::to_string(number), m_payloads[number]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{count}, m_sender.counters().messagesSent);
        CPPUNIT_ASSERT_EQUAL(m_sender.counters().bytesSent, m_receiver->counters().bytesReceived);
    }

    void envelopeNamesSender()
    {
        connectSender();
        std::optional<wire::envelope> got;
        m_receiver->subscribe(serviceName,
                              [&got](const wire::envelope &message) { got = message; });
        m_sender.send(second, serviceName, envelopeWithPayload("a"));
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(first.value(), got->from_vm());
        CPPUNIT_ASSERT(incarnation{got->from_incarnation()} == m_sender.selfIncarnation());
    }

    void deliversToSelfAsynchronously()
    {
        int got = 0;
        m_sender.subscribe(serviceName, [&got](const wire::envelope &) { ++got; });
        m_sender.send(first, serviceName, envelopeWithPayload("a"));
        CPPUNIT_ASSERT_EQUAL(0, got);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got == 1; }));
    }

    void reconnectsToRestartedPeer()
    {
        connectSender();
        CPPUNIT_ASSERT(sendUntilReceived("before"));
        m_receiver.reset();
        for (int number = 0; number < 10; ++number)
            m_sender.send(second, serviceName, envelopeWithPayload("lost or late"));
        startReceiver();
        CPPUNIT_ASSERT(sendUntilReceived("after"));
    }

    void reconnectsAtNewAddress()
    {
        connectSender();
        CPPUNIT_ASSERT(sendUntilReceived("before"));
        m_receiver.reset();
        const test::reserved_port other;
        startReceiver(other.text());
        m_sender.setPeers({{second, other.text()}});
        CPPUNIT_ASSERT(sendUntilReceived("after"));
    }

    void dropsMessagesWithoutBlocking()
    {
        constexpr std::uint64_t count = 10'000;
        constexpr std::uint64_t maxQueuedMessages = 64 + 2;
        const test::reserved_port unusedPort;
        m_sender.setPeers({{second, unusedPort.text()}});
        for (std::uint64_t number = 0; number < count; ++number)
            m_sender.send(second, serviceName, envelopeWithPayload("a"));
        const transport_counters counted = m_sender.counters();
        CPPUNIT_ASSERT(counted.messagesSent <= maxQueuedMessages);
        CPPUNIT_ASSERT_EQUAL(count, counted.messagesSent + counted.messagesNotSent);
    }

    void dropsMessagesToUnknownPeers()
    {
        m_sender.send(second, serviceName, envelopeWithPayload("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_sender.counters().messagesNotSent);
    }

    void dropsOversizedMessages()
    {
        connectSender();
        m_sender.send(second, serviceName, envelopeWithPayload(std::string(5U << 20U, 'a')));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_sender.counters().messagesNotSent);
        CPPUNIT_ASSERT(sendUntilReceived("after"));
    }

    void deliversLargeMessages()
    {
        connectSender();
        CPPUNIT_ASSERT(sendUntilReceived(std::string(4'000'000, 'a')));
    }

    void silentConnectionIsReplacedByRedial()
    {
        startReceiver();
        test::standin_process forwarder{"forwarder", {"--target=" + m_port.text()}};
        m_sender.setPeers({{second, toString(forwarder.address())}});
        CPPUNIT_ASSERT(sendUntilReceived("before"));
        silenceConnections(forwarder);
        m_sender.send(second, serviceName, envelopeWithPayload("undelivered"));
        m_sender.redial(second);
        CPPUNIT_ASSERT(sendUntilReceived("after"));
        CPPUNIT_ASSERT(std::find(m_payloads.begin(), m_payloads.end(), "undelivered")
                       == m_payloads.end());
    }

    void redialDropsQueuedMessages()
    {
        m_sender.setPeers({{second, m_port.text()}});
        m_sender.send(second, serviceName, envelopeWithPayload("stale"));
        m_sender.redial(second);
        startReceiver();
        CPPUNIT_ASSERT(sendUntilReceived("fresh"));
        CPPUNIT_ASSERT_EQUAL(std::string{"fresh"}, m_payloads.front());
    }

    void countsRejectedMessages()
    {
        startReceiver();
        raw_peer other{m_receiver->port()};
        other.send("no envelope");
        other.send({});
        other.send(envelopeWithPayload("without a sender").SerializeAsString());
        other.send(envelopeBytes("vm-3", 1, "elsewhere"));
        constexpr std::uint64_t sent = 4;
        CPPUNIT_ASSERT(test::runUntil(
            m_loop, [this] { return m_receiver->counters().messagesRejected == sent; }));
        CPPUNIT_ASSERT_EQUAL(sent, m_receiver->counters().messagesReceived);
    }

    void closesReplacedConnection()
    {
        startReceiver();
        raw_peer before{m_receiver->port()};
        raw_peer replaced{m_receiver->port()};
        raw_peer after{m_receiver->port()};
        before.send(envelopeBytes("vm-3", 1));
        CPPUNIT_ASSERT(waitForReceived(1));
        replaced.send(envelopeBytes("vm-3", 2));
        CPPUNIT_ASSERT(waitForReceived(2));
        CPPUNIT_ASSERT(!before.pipeRemoved() && !replaced.pipeRemoved());
        after.send(envelopeBytes("vm-3", 2));
        CPPUNIT_ASSERT(waitForReceived(3));
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&replaced] { return replaced.pipeRemoved(); }));
        CPPUNIT_ASSERT(!after.pipeRemoved());
    }

    void addressInUseIsAnError()
    {
        startReceiver();
        nng_transport other{m_loop, {second, incarnation{3}, m_port.text()}};
        CPPUNIT_ASSERT_THROW(other.start(), transport_error);
    }

    void invalidPeerAddressAffectsNoOtherPeer()
    {
        startReceiver();
        m_sender.setPeers({{vm_id{"vm-3"}, "nowhere:port"}, {second, m_port.text()}});
        m_sender.send(vm_id{"vm-3"}, serviceName, envelopeWithPayload("a"));
        CPPUNIT_ASSERT(sendUntilReceived("b"));
    }

private:
    void startReceiver(const std::optional<std::string> &address = {})
    {
        m_receiver.emplace(m_loop,
                           nng_options{second, incarnation{2}, address.value_or(m_port.text())});
        m_receiver->subscribe(serviceName, [this](const wire::envelope &message) {
            wire::envelope inner;
            if (inner.ParseFromString(message.payload()))
                m_payloads.push_back(inner.payload());
        });
        m_receiver->start();
    }

    void connectSender()
    {
        startReceiver();
        m_sender.setPeers({{second, m_port.text()}});
    }

    /** Sends the text repeatedly until it is received or defaultWaitLimit has passed. */
    bool sendUntilReceived(const std::string &text)
    {
        constexpr std::chrono::milliseconds resendInterval{100};
        const auto arrived = [this, &text] {
            return std::find(m_payloads.begin(), m_payloads.end(), text) != m_payloads.end();
        };
        const auto deadline = std::chrono::steady_clock::now() + test::defaultWaitLimit;
        while (!arrived() && std::chrono::steady_clock::now() < deadline) {
            m_sender.send(second, serviceName, envelopeWithPayload(text));
            (void)test::runUntil(m_loop, arrived, resendInterval);
        }
        return arrived();
    }

    bool waitForReceived(std::uint64_t count)
    {
        return test::runUntil(
            m_loop, [this, count] { return m_receiver->counters().messagesReceived == count; });
    }

    static void silenceConnections(test::standin_process &forwarder)
    {
        wire::standin::fault cut;
        cut.set_cut(wire::standin::CUT_SILENT_OLD);
        forwarder.setFault(cut);
    }

    boost::asio::io_context m_loop;
    test::reserved_port m_port;
    std::vector<std::string> m_payloads;
    nng_transport m_sender{m_loop, {first, incarnation{1}, "127.0.0.1:0"}};
    std::optional<nng_transport> m_receiver;
};

CPPUNIT_TEST_SUITE_REGISTRATION(nng_transport_test);

} // namespace
