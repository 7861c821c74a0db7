#include <azurelb/log/event.hpp>
#include <azurelb/log/line_buffer.hpp>
#include <azurelb/log/line_writer.hpp>
#include <azurelb/log/log_rate_limiter.hpp>
#include <azurelb/log/severity.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

namespace {

using namespace azurelb;

class line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_test);
    CPPUNIT_TEST(limitsEachEventAndCountsDroppedLines);
    CPPUNIT_TEST(tellsWhetherALineWouldBeWritten);
    CPPUNIT_TEST(dropsLinesInsteadOfBlockingOnAStalledReader);
    CPPUNIT_TEST(collectsLinesUntilAWarning);
    CPPUNIT_TEST(writesWhatDoesNotFitIntoOneWrite);
    CPPUNIT_TEST(reportsTheLinesThatAStalledReaderLost);
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

    /** Frequent lines are built only if they will be written, and count as dropped otherwise. */
    void tellsWhetherALineWouldBeWritten()
    {
        log_rate_limiter limiter{1};
        const time_point now{std::chrono::seconds{100}};
        CPPUNIT_ASSERT(limiter.hasRoom(event::job_accepted, now));
        CPPUNIT_ASSERT(limiter.admit(event::job_accepted, now).write);
        CPPUNIT_ASSERT(!limiter.hasRoom(event::job_accepted, now));
        CPPUNIT_ASSERT(limiter.hasRoom(event::job_refused, now));
        limiter.countDropped(event::job_accepted);
        const time_point later = now + std::chrono::seconds{1};
        CPPUNIT_ASSERT(limiter.hasRoom(event::job_accepted, later));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             limiter.admit(event::job_accepted, later).droppedLines);
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
    void collectsLinesUntilAWarning()
    {
        line_buffer lines{m_ends[1]};
        lines.setBuffering(true);
        CPPUNIT_ASSERT(lines.add(event::job_accepted, severity::info, "one").empty());
        CPPUNIT_ASSERT(lines.add(event::job_accepted, severity::info, "two").empty());
        CPPUNIT_ASSERT_EQUAL(std::string{}, readAll());
        CPPUNIT_ASSERT(lines.add(event::owner_lost, severity::warning, "three").empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"one\ntwo\nthree\n"}, readAll());
        lines.setBuffering(false);
        CPPUNIT_ASSERT(lines.add(event::job_accepted, severity::info, "four").empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"four\n"}, readAll());
    }

    void writesWhatDoesNotFitIntoOneWrite()
    {
        line_buffer lines{m_ends[1]};
        lines.setBuffering(true);
        std::string expected;
        for (int index = 0; index < 200; ++index) {
            const std::string line = std::string(60, 'x') + std::to_string(index);
            CPPUNIT_ASSERT(lines.add(event::job_accepted, severity::info, line).empty());
            expected += line + '\n';
        }
        CPPUNIT_ASSERT(lines.flush().empty());
        CPPUNIT_ASSERT_EQUAL(expected, readAll());
    }

    void reportsTheLinesThatAStalledReaderLost()
    {
        while (writeLine(m_ends[1], std::string(4000, 'x'))) {
        }
        line_buffer lines{m_ends[1]};
        lines.setBuffering(true);
        CPPUNIT_ASSERT(lines.add(event::job_accepted, severity::info, "one").empty());
        CPPUNIT_ASSERT(lines.add(event::job_refused, severity::info, "two").empty());
        const std::vector<event> dropped = lines.flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dropped.size());
        CPPUNIT_ASSERT(dropped.front() == event::job_accepted);
    }

    void setUp() override
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_ends.data()));
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }

    void tearDown() override
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

private:
    [[nodiscard]] std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t count = 0; (count = ::read(m_ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> m_ends{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_test);

} // namespace
