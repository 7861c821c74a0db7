#include <azurelb/core/kernel.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace {

using namespace azurelb;

class recording_service final : public service
{
public:
    recording_service(std::string name, std::vector<std::string> &journal)
        : m_name{std::move(name)}
        , m_journal{journal}
    { }

    [[nodiscard]] std::string_view name() const noexcept override { return m_name; }
    void start(kernel &) override { m_journal.push_back("start " + m_name); }
    void stop() noexcept override { m_journal.push_back("stop " + m_name); }

private:
    std::string m_name;
    std::vector<std::string> &m_journal;
};

class kernel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kernel_test);
    CPPUNIT_TEST(findsByName);
    CPPUNIT_TEST(refusesUnknownAndDoubledNames);
    CPPUNIT_TEST(stopsInReverseOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsByName()
    {
        auto &added = m_services.emplace<recording_service>("a", m_journal);
        CPPUNIT_ASSERT(&m_services.find<recording_service>("a") == &added);
    }

    void refusesUnknownAndDoubledNames()
    {
        m_services.emplace<recording_service>("a", m_journal);
        CPPUNIT_ASSERT_THROW((void)m_services.find<service>("b"), kernel_error);
        CPPUNIT_ASSERT_THROW(m_services.emplace<recording_service>("a", m_journal), kernel_error);
    }

    void stopsInReverseOrder()
    {
        m_services.emplace<recording_service>("a", m_journal);
        m_services.emplace<recording_service>("b", m_journal);
        m_services.start();
        m_services.stop();
        const std::vector<std::string> expected{"start a", "start b", "stop b", "stop a"};
        CPPUNIT_ASSERT(m_journal == expected);
    }

private:
    std::vector<std::string> m_journal;
    kernel m_services;
};

CPPUNIT_TEST_SUITE_REGISTRATION(kernel_test);

} // namespace
