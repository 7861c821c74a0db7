#include <azurelb/jobs/number_set.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace {

using namespace azurelb;

class number_set_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(number_set_test);
    CPPUNIT_TEST(agreesWithASetOfNumbers);
    CPPUNIT_TEST(holdsTheGreatestNumbers);
    CPPUNIT_TEST(ignoresARangeThatEndsBeforeItsBegin);
    CPPUNIT_TEST_SUITE_END();

public:
    void agreesWithASetOfNumbers()
    {
        constexpr std::uint32_t greatest{60};
        const bool held = rc::check([] {
            const auto ranges = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 50), rc::gen::inRange(0, 8)));
            number_set numbers;
            std::set<std::uint32_t> expected;
            for (const auto &[first, count] : ranges) {
                numbers.insert(static_cast<std::uint32_t>(first),
                               static_cast<std::uint32_t>(first + count));
                for (int number = first; number <= first + count; ++number)
                    expected.insert(static_cast<std::uint32_t>(number));
            }
            RC_ASSERT(numbers.size() == expected.size());
            for (std::uint32_t number = 0; number < greatest; ++number) {
                RC_ASSERT(numbers.contains(number) == expected.contains(number));
                std::uint32_t absent = number;
                while (expected.contains(absent))
                    ++absent;
                RC_ASSERT(numbers.firstAbsent(number) == absent);
            }
            for (std::size_t index = 1; index < numbers.ranges().size(); ++index)
                RC_ASSERT(numbers.ranges()[index - 1].last + 1 < numbers.ranges()[index].first);
        });
        CPPUNIT_ASSERT(held);
    }

    void holdsTheGreatestNumbers()
    {
        constexpr std::uint32_t greatest{std::numeric_limits<std::uint32_t>::max()};
        number_set numbers;
        numbers.insert(greatest);
        numbers.insert(0, greatest - 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, numbers.ranges().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{greatest} + 1, numbers.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{greatest} + 1, numbers.firstAbsent(0));
    }

    void ignoresARangeThatEndsBeforeItsBegin()
    {
        number_set numbers;
        numbers.insert(5, 4);
        CPPUNIT_ASSERT(numbers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(number_set_test);

} // namespace
