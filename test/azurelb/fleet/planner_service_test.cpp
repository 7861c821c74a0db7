#include "fake_fleet.hpp"

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/fleet/planner_service.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/platform/vm_controls.hpp>
#include <azurelb/platform/vm_list_source.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::test;

class fake_documents final : public document_source
{
public:
    explicit fake_documents(fake_fleet &world)
        : m_world{world}
    { }

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] config_view_ptr config() const noexcept override
    {
        return std::make_shared<config_view>(m_world.config, revision{m_world.configRevision});
    }
    [[nodiscard]] fleet_view_ptr fleet() const noexcept override
    {
        return std::make_shared<fleet_view>(m_world.fleet, revision{m_world.fleetRevision});
    }
    [[nodiscard]] bool isConfirmed() const noexcept override { return confirmed; }
    void subscribe(std::function<void()>) override { }
    void submit(const wire::change &, change_handler) override { }
    void readAudit(std::size_t, audit_handler) override { }

    void replaceFleet(const wire::fleet_document &document, revision expected,
                      const std::vector<wire::audit_record> &, fleet_handler done) override
    {
        ++writes;
        const bool isWritten = !conflicts
            && m_world.commit(document, static_cast<std::int64_t>(expected),
                              document.config_revision());
        const change_error error = isWritten ? change_error::none : change_error::conflict;
        m_world.advance(answerTime);
        done({error, {}, revision{m_world.fleetRevision}});
    }

    bool confirmed{true};
    bool conflicts{false};
    seconds answerTime{0};
    int writes{0};

private:
    fake_fleet &m_world;
};

class fake_platform final : public vm_list_source
{
public:
    explicit fake_platform(fake_fleet &world)
        : m_world{world}
    { }

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] list_ptr list() const override { return m_world.list(seconds{1}); }
    [[nodiscard]] time_point requestedAt() const override { return m_world.now - seconds{1}; }
    void subscribe(std::function<void()>) override { }

private:
    fake_fleet &m_world;
};

class fake_controls final : public vm_controls
{
public:
    void start(kernel &) override { }
    void stop() noexcept override { }
    void drain(const vm_id &, control_handler) override { CPPUNIT_FAIL("no drain is ordered"); }
    void reboot(const vm_id &vm, control_handler done) override
    {
        rebooted.push_back(vm);
        done(control_outcome::accepted);
    }

    std::vector<vm_id> rebooted{};
};

class fake_members final : public membership
{
public:
    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] std::vector<member> freshMembers() const override { return members; }
    void subscribe(std::function<void()>) override { }

    std::vector<member> members{{vm_id{"self"}, incarnation{1}}};
};

class fake_peers final : public peer_transport
{
public:
    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] const vm_id &self() const noexcept override { return m_self; }
    [[nodiscard]] incarnation selfIncarnation() const noexcept override { return incarnation{1}; }
    void send(const vm_id &, std::string_view, const google::protobuf::MessageLite &) override { }
    void subscribe(std::string_view, envelope_handler) override { }

private:
    vm_id m_self{"self"};
};

class fake_reporter final : public vm_reporter
{
public:
    explicit fake_reporter(fake_fleet &world)
        : m_world{world}
    { }

    void refresh(const wire::fleet_document &, const wire::vm_list &) override { }
    [[nodiscard]] std::vector<vm_observation> observe() const override
    {
        return m_world.observe(seconds{1});
    }
    [[nodiscard]] std::vector<queue_demand> demand() const override { return {}; }

private:
    fake_fleet &m_world;
};

class fake_clock final : public clock_source
{
public:
    explicit fake_clock(fake_fleet &world)
        : m_world{world}
    { }

    [[nodiscard]] time_point now() const noexcept override { return m_world.now; }
    [[nodiscard]] wall_time wallNow() const noexcept override { return wallAt(m_world.now); }

private:
    fake_fleet &m_world;
};

class planner_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_service_test);
    CPPUNIT_TEST(plansOnTheOwnerOnly);
    CPPUNIT_TEST(plansNothingWithoutConfirmedDocuments);
    CPPUNIT_TEST(ordersRebootsAfterTheCommit);
    CPPUNIT_TEST(ordersNoRebootAfterAConflict);
    CPPUNIT_TEST(ordersNoRebootAfterADelayedCommit);
    CPPUNIT_TEST(exportsMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_world.addPool("a", 1, 4, 2);
        for (int index = 0; index < 4; ++index)
            m_world.addVm("vm" + std::to_string(index), "z1", "rack");
        m_world.advance(seconds{2});
        m_kernel.start();
    }

    void plansOnTheOwnerOnly()
    {
        m_members.members = {{vm_id{"other"}, incarnation{2}}};
        run(seconds{3});
        CPPUNIT_ASSERT_EQUAL(0, m_documents.writes);
        m_members.members = {{vm_id{"self"}, incarnation{1}}};
        run(seconds{3});
        CPPUNIT_ASSERT(m_documents.writes > 0);
    }

    void plansNothingWithoutConfirmedDocuments()
    {
        m_documents.confirmed = false;
        run(seconds{3});
        CPPUNIT_ASSERT_EQUAL(0, m_documents.writes);
    }

    void ordersRebootsAfterTheCommit()
    {
        drain();
        run(seconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_controls.rebooted.size());
    }

    void ordersNoRebootAfterAConflict()
    {
        drain();
        m_documents.conflicts = true;
        run(seconds{20});
        CPPUNIT_ASSERT(m_controls.rebooted.empty());
    }

    void ordersNoRebootAfterADelayedCommit()
    {
        drain();
        m_documents.answerTime = seconds{6};
        run(seconds{20});
        CPPUNIT_ASSERT(m_controls.rebooted.empty());
        CPPUNIT_ASSERT(m_world.fleet.vms(0).state() == wire::VM_STATE_REBOOTING);
    }

    void exportsMetrics()
    {
        run(seconds{10});
        CPPUNIT_ASSERT(m_metrics.text().find("azurelb_fleet_budget_left{pool=\"a\"} 2")
                       != std::string::npos);
    }

private:
    void run(seconds time)
    {
        for (seconds passed{0}; passed < time; ++passed) {
            m_service.step();
            m_world.advance(seconds{1});
        }
    }

    /** Starts a wave and runs until VMs drain for it. */
    void drain()
    {
        run(seconds{10});
        m_world.bumpConfigRevision();
        wire::wave &wave = *m_world.config.add_waves();
        wave.set_id("wave");
        wave.add_pools("a");
        run(seconds{1});
        CPPUNIT_ASSERT(m_world.fleet.vms(0).state() == wire::VM_STATE_DRAINING);
    }

    boost::asio::io_context m_loop{};
    fake_fleet m_world{};
    fake_clock m_clock{m_world};
    fake_reporter m_reporter{m_world};
    kernel m_kernel{};
    fake_documents &m_documents{m_kernel.emplace<fake_documents>(m_world)};
    fake_platform &m_platform{m_kernel.emplace<fake_platform>(m_world)};
    fake_controls &m_controls{m_kernel.emplace<fake_controls>()};
    fake_members &m_members{m_kernel.emplace<fake_members>()};
    fake_peers &m_peers{m_kernel.emplace<fake_peers>()};
    metrics &m_metrics{m_kernel.emplace<metrics>()};
    planner_service &m_service{m_kernel.emplace<planner_service>(m_loop, m_clock, m_reporter)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_service_test);

} // namespace
