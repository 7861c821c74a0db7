#include "simulated_fleet.hpp"

#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/limits/rights_limit_service.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/store/store_reply.hpp>
#include <azurelb/wire/peer.pb.h>

#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace azurelb::test {

namespace {

const team_name choir{"choir"};

/** State shared by the mocks of all daemons. */
struct shared_state
{
    boost::asio::io_context loop{};
    std::map<vm_id, envelope_handler> handlers{};
    std::vector<member> fresh{};
    config_view_ptr config{std::make_shared<config_view>()};
    std::vector<std::function<void()>> configHandlers{};
    std::string value{};
    std::int64_t revisionAt{0};
    bool answersLost{false};
    bool confirmed{true};

    void setLimit(std::uint32_t limit)
    {
        wire::config_document document;
        wire::team &team = *document.add_teams();
        team.set_name(choir.value());
        team.set_limit(limit);
        const auto at = static_cast<std::int64_t>(config->storeRevision()) + 1;
        config = std::make_shared<config_view>(document, revision{at});
        for (const auto &changed : configHandlers)
            changed();
    }
};

/** Base of the mocks, with empty start() and stop(). */
template <typename Interface>
class mock : public Interface
{
public:
    explicit mock(shared_state &platform)
        : m_platform{platform}
    { }

    void start(kernel &) override { }
    void stop() noexcept override { }

protected:
    shared_state &m_platform;
};

class mock_transport final : public mock<peer_transport>
{
public:
    mock_transport(shared_state &platform, member self)
        : mock{platform}
        , m_self{std::move(self)}
    { }

    [[nodiscard]] const vm_id &self() const noexcept override { return m_self.vm; }
    [[nodiscard]] incarnation selfIncarnation() const noexcept override { return m_self.id; }

    void send(const vm_id &to, std::string_view,
              const google::protobuf::MessageLite &message) override
    {
        wire::envelope envelope;
        envelope.set_from_vm(m_self.vm.value());
        envelope.set_from_incarnation(static_cast<std::uint64_t>(m_self.id));
        envelope.set_payload(message.SerializeAsString());
        boost::asio::post(m_platform.loop, [&handlers = m_platform.handlers, to, envelope] {
            handlers.at(to)(envelope);
        });
    }

    void subscribe(std::string_view, envelope_handler handler) override
    {
        m_platform.handlers[m_self.vm] = std::move(handler);
    }

private:
    member m_self;
};

class mock_membership final : public mock<membership>
{
public:
    using mock::mock;

    [[nodiscard]] std::vector<member> freshMembers() const override { return m_platform.fresh; }
    void subscribe(std::function<void()>) override { }
};

class mock_documents final : public mock<document_source>
{
public:
    using mock::mock;

    [[nodiscard]] config_view_ptr config() const noexcept override { return m_platform.config; }
    [[nodiscard]] fleet_view_ptr fleet() const noexcept override { return {}; }
    [[nodiscard]] bool isConfirmed() const noexcept override { return m_platform.confirmed; }

    void subscribe(std::function<void()> changed) override
    {
        m_platform.configHandlers.push_back(std::move(changed));
    }

    void submit(const wire::change &, change_handler) override { }
    void replaceFleet(const wire::fleet_document &, revision,
                      const std::vector<wire::audit_record> &, fleet_handler) override
    { }
    void readAudit(std::size_t, audit_handler) override { }
};

/** Store with one key and compare-and-swap on its revision. */
class mock_store final : public mock<store>
{
public:
    using mock::mock;

    void read(const wire::etcd::txn_request &, std::chrono::milliseconds,
              store_handler done) override
    {
        store_reply reply;
        auto &range = *reply.response.add_responses()->mutable_response_range();
        if (m_platform.revisionAt > 0) {
            wire::etcd::key_value &found = *range.add_kvs();
            found.set_value(m_platform.value);
            found.set_mod_revision(m_platform.revisionAt);
        }
        answer(reply, done);
    }

    void commit(const wire::etcd::txn_request &request, std::chrono::milliseconds,
                store_handler done) override
    {
        store_reply reply;
        if (request.compare(0).mod_revision() == m_platform.revisionAt) {
            m_platform.value = request.success(0).request_put().value();
            ++m_platform.revisionAt;
            reply.response.set_succeeded(true);
        }
        reply.response.mutable_header()->set_revision(m_platform.revisionAt);
        if (m_platform.answersLost)
            reply = store_reply{store_error::unknown, {}};
        answer(reply, done);
    }

private:
    void answer(const store_reply &reply, const store_handler &done)
    {
        boost::asio::post(m_platform.loop, [reply, done] { done(reply); });
    }
};

/** Kernel of one daemon with the limit service and mocks of the other services. */
class mock_daemon
{
public:
    mock_daemon(shared_state &platform, const departure_source &departures, const member &self)
    {
        m_kernel.emplace<metrics>();
        m_kernel.emplace<mock_transport>(platform, self);
        m_kernel.emplace<mock_membership>(platform);
        m_kernel.emplace<mock_documents>(platform);
        m_kernel.emplace<mock_store>(platform);
        limits = &m_kernel.emplace<rights_limit_service>(platform.loop, m_clock, departures);
        m_kernel.start();
    }

    [[nodiscard]] std::string metricsText() const
    {
        return m_kernel.find<metrics>(metrics::serviceName).text();
    }

    rights_limit_service *limits{};

private:
    steady_clock_source m_clock{};
    kernel m_kernel{};
};

class rights_limit_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_limit_service_test);
    CPPUNIT_TEST(rightsMoveToTheWaitingDaemon);
    CPPUNIT_TEST(lostCommitReplyIsRecoveredByARead);
    CPPUNIT_TEST(unconfirmedDaemonAcquiresNothing);
    CPPUNIT_TEST(metricsShowTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (const char *vm : {"a", "b"})
            m_platform.fresh.push_back(member{vm_id{vm}, incarnation{++m_lastIncarnation}});
        for (const member &self : m_platform.fresh)
            m_daemons.push_back(std::make_unique<mock_daemon>(m_platform, m_departures, self));
        m_platform.setLimit(4);
    }

    void tearDown() override
    {
        m_daemons.clear();
        m_platform.loop.poll();
    }

    void rightsMoveToTheWaitingDaemon()
    {
        int running = 0;
        rights_limit_service &limits = *m_daemons[1]->limits;
        limits.subscribe([&](const team_name &team) {
            while (limits.acquire(team))
                ++running;
            limits.setDemand(team, static_cast<std::uint32_t>(4 - running));
        });
        limits.setDemand(choir, 4);
        runUntil([&] { return running == 4; });
        CPPUNIT_ASSERT_EQUAL(4, running);
        CPPUNIT_ASSERT(!m_daemons[0]->limits->acquire(choir));
    }

    void lostCommitReplyIsRecoveredByARead()
    {
        m_platform.answersLost = true;
        const auto held = [this] {
            return m_daemons[0]->limits->status(choir).held;
        };
        runUntil([&] { return held() == 4; });
        CPPUNIT_ASSERT_EQUAL(right_count{4}, held());
    }

    void unconfirmedDaemonAcquiresNothing()
    {
        runUntil([&] { return m_daemons[0]->limits->acquire(choir); });
        m_platform.confirmed = false;
        CPPUNIT_ASSERT(!m_daemons[0]->limits->acquire(choir));
    }

    void metricsShowTheLimit()
    {
        const std::string expected{"azurelb_limit_in_force{team=\"choir\"} 1"};
        const auto shown = [&] {
            return m_daemons[0]->metricsText().find(expected) != std::string::npos;
        };
        runUntil(shown);
        CPPUNIT_ASSERT(shown());
    }

private:
    template <typename Condition>
    void runUntil(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + 30s;
        while (!done() && std::chrono::steady_clock::now() < end)
            m_platform.loop.run_one_for(100ms);
    }

    shared_state m_platform{};
    fake_departures m_departures{};
    std::vector<std::unique_ptr<mock_daemon>> m_daemons{};
    std::uint64_t m_lastIncarnation{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_limit_service_test);

} // namespace

} // namespace azurelb::test
