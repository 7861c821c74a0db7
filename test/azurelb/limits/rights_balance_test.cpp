#include <azurelb/limits/rights_balance.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace azurelb;

class rights_balance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_balance_test);
    CPPUNIT_TEST(idleRightsMoveToLoadedHolders);
    CPPUNIT_TEST(nothingMovesWithoutUnmetLoad);
    CPPUNIT_TEST(loadedHoldersShareByLoad);
    CPPUNIT_TEST(everyLoadedHolderGetsOneRight);
    CPPUNIT_TEST(smallDifferencesMoveNothing);
    CPPUNIT_TEST(idleOnlyKeepsRightsOfLoadedHolders);
    CPPUNIT_TEST(excessGoesToTheCollector);
    CPPUNIT_TEST_SUITE_END();

public:
    void idleRightsMoveToLoadedHolders()
    {
        add(10, 0);
        add(10, 0);
        add(10, 25);
        CPPUNIT_ASSERT_EQUAL(right_count{15}, moved());
    }

    void nothingMovesWithoutUnmetLoad()
    {
        add(30, 0);
        add(10, 10);
        add(0, 0);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, moved());
    }

    void loadedHoldersShareByLoad()
    {
        add(42, 61);
        add(0, 21);
        CPPUNIT_ASSERT((targets() == std::vector<right_count>{31, 11}));
        CPPUNIT_ASSERT_EQUAL(right_count{11}, moved());
    }

    void everyLoadedHolderGetsOneRight()
    {
        add(10, 1000);
        add(0, 1);
        CPPUNIT_ASSERT((targets() == std::vector<right_count>{9, 1}));
        CPPUNIT_ASSERT_EQUAL(right_count{1}, moved());
    }

    void smallDifferencesMoveNothing()
    {
        add(21, 100);
        add(19, 100);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, moved());
    }

    void idleOnlyKeepsRightsOfLoadedHolders()
    {
        add(30, 100);
        add(10, 100);
        CPPUNIT_ASSERT_EQUAL(right_count{10}, moved());
        m_request.isIdleOnly = true;
        CPPUNIT_ASSERT_EQUAL(right_count{0}, moved());
    }

    void excessGoesToTheCollector()
    {
        add(10, 10);
        add(10, 10);
        m_request.excess = 10;
        m_request.collector = m_reports.front().holder;
        CPPUNIT_ASSERT((targets() == std::vector<right_count>{5, 5}));
        CPPUNIT_ASSERT_EQUAL(right_count{5}, moved());
    }

private:
    void add(right_count holdings, right_count load)
    {
        const auto number = m_reports.size() + 1;
        m_reports.push_back({{vm_id{std::to_string(number)}, incarnation{number}}, holdings, load});
        m_request.reports = m_reports;
    }

    [[nodiscard]] std::vector<right_count> targets() const { return targetHoldings(m_request); }

    [[nodiscard]] right_count moved() const
    {
        right_count sum = 0;
        for (const rights_transfer &each : balanceRights(m_request))
            sum += each.count;
        return sum;
    }

    std::vector<holder_report> m_reports{};
    balance_request m_request{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_balance_test);

} // namespace
