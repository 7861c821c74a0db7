#include "support/run_until.hpp"
#include "support/standin_process.hpp"

#include <azurelb/core/identifier.hpp>
#include <azurelb/platform/http_vm_controls.hpp>
#include <azurelb/platform/polling_vm_list.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace {

using namespace azurelb;

constexpr std::chrono::milliseconds pollInterval{10};
constexpr std::chrono::milliseconds shortTimeout{300};
const vm_id first{"a"};

class platform_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(readsList);
    CPPUNIT_TEST(readsListAgainOnlyIfChanged);
    CPPUNIT_TEST(keepsLastListWhilePlatformIsUnreachable);
    CPPUNIT_TEST(keepsLastListOnTruncatedResponse);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(laggingListCatchesUp);
    CPPUNIT_TEST(drainsAndRebootsVm);
    CPPUNIT_TEST(reportsUnknownVm);
    CPPUNIT_TEST(lostResponseIsUnknownAndRequestTakesEffect);
    CPPUNIT_TEST(requestToUnreachablePlatformIsRefused);
    CPPUNIT_TEST(serverErrorIsUnknown);
    CPPUNIT_TEST(concurrentRequestsAllComplete);
    CPPUNIT_TEST(stoppedServiceCallsNoHandler);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_process.control("vms", R"({"vms":[{"id":"a","boot_id":"0"},{"id":"b"}]})");
        m_list.start();
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_list.list() != nullptr; }));
    }

    void readsList()
    {
        CPPUNIT_ASSERT_EQUAL(2, m_list.list()->vms_size());
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, vm().boot_id());
    }

    void readsListAgainOnlyIfChanged()
    {
        int changes = 0;
        m_list.subscribe([&changes] { ++changes; });
        const auto lists = m_list.listsRead();
        CPPUNIT_ASSERT(waitForPolls(5));
        CPPUNIT_ASSERT_EQUAL(lists, m_list.listsRead());
        m_process.control("vms", R"({"vms":[{"id":"c"}]})");
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&changes] { return changes == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, vm().id());
    }

    void keepsLastListWhilePlatformIsUnreachable()
    {
        wire::standin::fault down;
        down.set_down(true);
        m_process.setFault(down);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return !m_list.reachable(); }));
        CPPUNIT_ASSERT_EQUAL(2, m_list.list()->vms_size());
        m_process.clearFault();
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_list.reachable(); }));
    }

    void keepsLastListOnTruncatedResponse()
    {
        wire::standin::fault truncated;
        truncated.set_truncated(1'000'000);
        m_process.setFault(truncated);
        m_process.control("vms", R"({"vms":[{"id":"c"}]})");
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return !m_list.reachable(); }));
        CPPUNIT_ASSERT_EQUAL(2, m_list.list()->vms_size());
    }

    void silentConnectionIsReplaced()
    {
        wire::standin::fault silent;
        silent.set_silent(true);
        m_process.setFault(silent);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return !m_list.reachable(); }));
        m_process.clearFault();
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_list.reachable(); }));
    }

    void laggingListCatchesUp()
    {
        wire::standin::fault lagging;
        lagging.set_lag_ms(600'000);
        m_process.setFault(lagging);
        m_process.control("vms", R"({"vms":[{"id":"c"}]})");
        // With this lag the stand-in serves its initial list, which is empty.
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_list.list()->vms().empty(); }));
        m_process.clearFault();
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return !m_list.list()->vms().empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, vm().id());
    }

    void drainsAndRebootsVm()
    {
        CPPUNIT_ASSERT(request(&vm_controls::drain, first) == control_outcome::accepted);
        CPPUNIT_ASSERT(waitForPhase(wire::VM_PHASE_LEAVING));
        CPPUNIT_ASSERT(request(&vm_controls::reboot, first) == control_outcome::accepted);
        CPPUNIT_ASSERT(waitForPhase(wire::VM_PHASE_LIVE));
        CPPUNIT_ASSERT(vm().boot_id() != "0");
    }

    void reportsUnknownVm()
    {
        const vm_id specialCharacters{"x/../a"};
        CPPUNIT_ASSERT(request(&vm_controls::drain, specialCharacters)
                       == control_outcome::unknown_vm);
    }

    void lostResponseIsUnknownAndRequestTakesEffect()
    {
        m_list.stop();
        wire::standin::fault lost;
        lost.set_answer_lost(1);
        m_process.setFault(lost);
        CPPUNIT_ASSERT(request(&vm_controls::drain, first) == control_outcome::unknown);
        m_list.start();
        CPPUNIT_ASSERT(waitForPhase(wire::VM_PHASE_LEAVING));
    }

    void requestToUnreachablePlatformIsRefused()
    {
        wire::standin::fault down;
        down.set_down(true);
        m_process.setFault(down);
        CPPUNIT_ASSERT(request(&vm_controls::reboot, first) == control_outcome::refused);
    }

    void serverErrorIsUnknown()
    {
        wire::standin::fault failing;
        failing.set_failing(wire::standin::FAILING_ERROR);
        m_process.setFault(failing);
        CPPUNIT_ASSERT(request(&vm_controls::reboot, first) == control_outcome::unknown);
    }

    void concurrentRequestsAllComplete()
    {
        constexpr int requests = 20;
        int ended = 0;
        for (int number = 0; number < requests; ++number) {
            m_controls.drain(first, [&ended](control_outcome outcome) {
                ended += outcome == control_outcome::accepted;
            });
        }
        CPPUNIT_ASSERT_EQUAL(0, ended);
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&ended] { return ended == requests; }));
    }

    void stoppedServiceCallsNoHandler()
    {
        bool called = false;
        m_controls.drain(first, [&called](control_outcome) { called = true; });
        m_controls.stop();
        m_list.stop();
        CPPUNIT_ASSERT(!test::runUntil(
            m_loop, [&called] { return called; }, shortTimeout));
    }

private:
    using request_method = void (vm_controls::*)(const vm_id &, control_handler);

    [[nodiscard]] const wire::listed_vm &vm() const { return m_list.list()->vms(0); }

    bool waitForPolls(polling_vm_list::size_type count)
    {
        const auto wanted = m_list.answeredPolls() + count;
        return test::runUntil(m_loop, [this, wanted] { return m_list.answeredPolls() >= wanted; });
    }

    bool waitForPhase(wire::vm_phase phase)
    {
        return test::runUntil(m_loop, [this, phase] { return vm().phase() == phase; });
    }

    control_outcome request(request_method method, const vm_id &to)
    {
        std::optional<control_outcome> got;
        (m_controls.*method)(to, [&got](control_outcome outcome) { got = outcome; });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got.has_value(); }));
        return *got;
    }

    test::standin_process m_process{"platform", {"--reboot_ms=50"}};
    boost::asio::io_context m_loop;
    platform_options m_options{m_process.address(), pollInterval, shortTimeout};
    polling_vm_list m_list{m_loop, m_options};
    http_vm_controls m_controls{m_loop, m_options};
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

} // namespace
