#include <azurelb/log/event.hpp>
#include <azurelb/log/line_writer.hpp>
#include <azurelb/log/log_rate_limiter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>

#include <unistd.h>

namespace {

using namespace azurelb;

class line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_test);
    CPPUNIT_TEST(limitsEachEventAndCountsDroppedLines);
    CPPUNIT_TEST(dropsLinesInsteadOfBlockingOnAStalledReader);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitsEachEventAndCountsDroppedLines()
    {
        log_rate_limiter limiter{2};
        const time_point now{std::chrono::seconds{100}};
        CPPUNIT_ASSERT(limiter.admit(event::job_accepted, now).write);
        CPPUNIT_ASSERT(limiter.admit(event::job_accepted, now).write);
        CPPUNIT_ASSERT(!limiter.admit(event::job_accepted, now).write);
        CPPUNIT_ASSERT(limiter.admit(event::job_refused, now).write);
        const auto later = limiter.admit(event::job_accepted, now + std::chrono::seconds{1});
        CPPUNIT_ASSERT(later.write);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, later.droppedLines);
    }

    void dropsLinesInsteadOfBlockingOnAStalledReader()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        const std::string line(1000, 'x');
        const auto startedAt = std::chrono::steady_clock::now();
        int written = 0;
        for (int index = 0; index < 1000; ++index)
            written += writeLine(ends[1], line) ? 1 : 0;
        CPPUNIT_ASSERT(written > 0 && written < 1000);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds{1});
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_test);

} // namespace
