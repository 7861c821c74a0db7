#include <azurelb/core/kernel.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace {

using namespace azurelb;

class recording_service final : public service
{
public:
    recording_service(std::string name, std::vector<std::string> &lifecycleCalls)
        : m_name{std::move(name)}
        , m_lifecycleCalls{lifecycleCalls}
    { }

    [[nodiscard]] std::string_view name() const noexcept override { return m_name; }
    void start(kernel &) override { m_lifecycleCalls.push_back("start " + m_name); }
    void stop() noexcept override { m_lifecycleCalls.push_back("stop " + m_name); }

private:
    std::string m_name;
    std::vector<std::string> &m_lifecycleCalls;
};

class kernel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kernel_test);
    CPPUNIT_TEST(findsServiceByName);
    CPPUNIT_TEST(rejectsUnknownAndDuplicateNames);
    CPPUNIT_TEST(stopsServicesInReverseOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsServiceByName()
    {
        auto &added = m_kernel.emplace<recording_service>("a", m_lifecycleCalls);
        CPPUNIT_ASSERT(&m_kernel.find<recording_service>("a") == &added);
    }

    void rejectsUnknownAndDuplicateNames()
    {
        m_kernel.emplace<recording_service>("a", m_lifecycleCalls);
        CPPUNIT_ASSERT_THROW((void)m_kernel.find<service>("b"), kernel_error);
        CPPUNIT_ASSERT_THROW(m_kernel.emplace<recording_service>("a", m_lifecycleCalls),
                             kernel_error);
    }

    void stopsServicesInReverseOrder()
    {
        m_kernel.emplace<recording_service>("a", m_lifecycleCalls);
        m_kernel.emplace<recording_service>("b", m_lifecycleCalls);
        m_kernel.start();
        m_kernel.stop();
        const std::vector<std::string> expected{"start a", "start b", "stop b", "stop a"};
        CPPUNIT_ASSERT(m_lifecycleCalls == expected);
    }

private:
    std::vector<std::string> m_lifecycleCalls;
    kernel m_kernel;
};

CPPUNIT_TEST_SUITE_REGISTRATION(kernel_test);

} // namespace
