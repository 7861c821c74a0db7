#include "mock_limits.hpp"

#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/share/dispatched_slot_service.hpp>
#include <azurelb/share/slot_grant.hpp>
#include <azurelb/share/slot_request.hpp>
#include <azurelb/upstream/attempt_outcome.hpp>
#include <azurelb/upstream/upstream_directory.hpp>
#include <azurelb/wire/peer.pb.h>

#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::testing;
using namespace std::chrono_literals;

using changed_handler = std::function<void()>;

const queue_name queue{"plans"};
const vm_id executor{"executor"};

/** Transport that delivers directly to the other transports of the test. */
class mock_transport final : public peer_transport
{
public:
    using hub = std::map<vm_id, mock_transport *>;

    mock_transport(boost::asio::io_context &loop, hub &peers, const member &self)
        : m_loop{loop}
        , m_peers{peers}
        , m_self{self}
    {
        m_peers[self.vm] = this;
    }

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] const vm_id &self() const noexcept override { return m_self.vm; }
    [[nodiscard]] incarnation selfIncarnation() const noexcept override { return m_self.id; }

    void send(const vm_id &to, std::string_view peerService,
              const google::protobuf::MessageLite &message) override
    {
        wire::envelope carried;
        carried.set_from_vm(m_self.vm.value());
        carried.set_from_incarnation(static_cast<std::uint64_t>(m_self.id));
        carried.set_service(std::string{peerService});
        carried.set_payload(message.SerializeAsString());
        boost::asio::post(m_loop, [this, to, carried] { m_peers.at(to)->m_handler(carried); });
    }

    void subscribe(std::string_view, envelope_handler handler) override
    {
        m_handler = std::move(handler);
    }

private:
    boost::asio::io_context &m_loop;
    hub &m_peers;
    member m_self;
    envelope_handler m_handler{};
};

class mock_membership final : public membership
{
public:
    explicit mock_membership(std::vector<member> &fresh)
        : m_fresh{fresh}
    { }

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] std::vector<member> freshMembers() const override { return m_fresh; }
    void subscribe(changed_handler changed) override { m_changed = std::move(changed); }
    void notify() { m_changed(); }

private:
    std::vector<member> &m_fresh;
    changed_handler m_changed{};
};

class mock_directory final : public upstream_directory
{
public:
    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] std::vector<upstream_vm> eligible(const queue_name &) const override
    {
        return {{executor, "127.0.0.1:1", zone_name{"milano"}, rack_name{"rack"}, 8}};
    }
    void subscribe(changed_handler) override { }
};

class mock_documents final : public document_source
{
public:
    mock_documents()
    {
        // The service reads only the document of the view, not its index.
        const auto view = std::make_shared<config_view>();
        auto &document = const_cast<wire::config_document &>(view->document());
        wire::queue &added = *document.add_queues();
        added.set_name(queue.value());
        added.set_pool("pool");
        m_config = view;
    }

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] config_view_ptr config() const noexcept override { return m_config; }
    [[nodiscard]] fleet_view_ptr fleet() const noexcept override { return {}; }
    [[nodiscard]] bool isConfirmed() const noexcept override { return m_isConfirmed; }
    void subscribe(changed_handler) override { }
    void submit(const wire::change &, change_handler) override { }
    void replaceFleet(const wire::fleet_document &, revision,
                      const std::vector<wire::audit_record> &, fleet_handler) override
    { }
    void readAudit(std::size_t, audit_handler) override { }
    void setConfirmed(bool isConfirmed) { m_isConfirmed = isConfirmed; }

private:
    config_view_ptr m_config{};
    bool m_isConfirmed{true};
};

/** The slot service of one daemon on mock services. */
struct mock_daemon
{
    mock_daemon(boost::asio::io_context &loop, mock_transport::hub &peers,
                std::vector<member> &fresh, const member &self)
        : members{services.emplace<mock_membership>(fresh)}
        , documents{services.emplace<mock_documents>()}
    {
        services.emplace<mock_transport>(loop, peers, self);
        services.emplace<mock_directory>();
        services.emplace<mock_limits>();
        services.emplace<metrics>();
        slots = &services.emplace<dispatched_slot_service>(loop, clock);
        services.start();
    }

    steady_clock_source clock{};
    kernel services{};
    mock_membership &members;
    mock_documents &documents;
    dispatched_slot_service *slots{};
};

class dispatched_slot_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatched_slot_service_test);
    CPPUNIT_TEST(grantsAtEveryDaemon);
    CPPUNIT_TEST(grantsNoMoreThanSlots);
    CPPUNIT_TEST(grantsNothingUnconfirmed);
    CPPUNIT_TEST(refusesUnknownQueue);
    CPPUNIT_TEST(handsOverDispatchingWhenDraining);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantsAtEveryDaemon()
    {
        sendRequest(m_first);
        sendRequest(m_second);
        CPPUNIT_ASSERT(waitFor([this] { return m_leases.size() == 2; }));
    }

    void grantsNoMoreThanSlots()
    {
        for (int count = 0; count < 10; ++count) {
            sendRequest(m_first);
            sendRequest(m_second);
        }
        CPPUNIT_ASSERT(waitFor([this] { return m_leases.size() == 8; }));
        m_loop.run_for(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, m_leases.size());
        for (std::size_t done = 0; done < 20; ++done) {
            CPPUNIT_ASSERT(waitFor([this, done] { return m_leases.size() > done; }));
            m_leases[done].first->release(m_leases[done].second, attempt_outcome::answered);
        }
    }

    void grantsNothingUnconfirmed()
    {
        m_first.documents.setConfirmed(false);
        sendRequest(m_first, 300ms);
        CPPUNIT_ASSERT(waitFor([this] { return m_refusals.size() == 1; }));
        CPPUNIT_ASSERT(m_refusals[0] == slot_refusal::unconfirmed);
        CPPUNIT_ASSERT(m_leases.empty());
    }

    void refusesUnknownQueue()
    {
        m_first.slots->request({queue_name{"none"}, {}, m_first.clock.now() + 1s, {}},
                               handler(m_first));
        CPPUNIT_ASSERT(m_refusals.empty());
        CPPUNIT_ASSERT(waitFor([this] { return m_refusals.size() == 1; }));
        CPPUNIT_ASSERT(m_refusals[0] == slot_refusal::no_upstream);
    }

    void handsOverDispatchingWhenDraining()
    {
        sendRequest(m_first);
        CPPUNIT_ASSERT(waitFor([this] { return m_leases.size() == 1; }));
        m_fresh.erase(m_fresh.begin());
        m_second.members.notify();
        m_first.slots->drain();
        for (int count = 0; count < 7; ++count)
            sendRequest(m_second);
        CPPUNIT_ASSERT(waitFor([this] { return m_leases.size() == 8; }));
        sendRequest(m_first);
        CPPUNIT_ASSERT(waitFor([this] { return m_refusals.size() == 1; }));
        CPPUNIT_ASSERT(m_refusals[0] == slot_refusal::stopping);
    }

private:
    [[nodiscard]] slot_handler handler(mock_daemon &at)
    {
        return [this, &at](const slot_grant &grant) {
            if (grant.refusal == slot_refusal::none)
                m_leases.emplace_back(at.slots, grant.lease);
            else
                m_refusals.push_back(grant.refusal);
        };
    }

    void sendRequest(mock_daemon &at, std::chrono::milliseconds deadline = 60s)
    {
        at.slots->request({queue, {}, at.clock.now() + deadline, {}}, handler(at));
    }

    template <typename Predicate>
    [[nodiscard]] bool waitFor(Predicate reached)
    {
        const auto until = std::chrono::steady_clock::now() + 30s;
        while (!reached() && std::chrono::steady_clock::now() < until)
            m_loop.run_one_for(10ms);
        return reached();
    }

    boost::asio::io_context m_loop{};
    mock_transport::hub m_peers{};
    std::vector<member> m_fresh{{vm_id{"entry-1"}, incarnation{1}},
                                {vm_id{"entry-2"}, incarnation{2}}};
    mock_daemon m_first{m_loop, m_peers, m_fresh, m_fresh[0]};
    mock_daemon m_second{m_loop, m_peers, m_fresh, m_fresh[1]};
    std::vector<std::pair<slot_service *, lease_id>> m_leases{};
    std::vector<slot_refusal> m_refusals{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatched_slot_service_test);

} // namespace
