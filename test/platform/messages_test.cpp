#include <azurelb/catalogue/catalogue.hpp>
#include <platform/messages.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

using namespace azurelb;
using namespace azurelb::platform;

constexpr char configText[]{
    R"({"Version":7,"Routes":[)"
    R"({"Name":"r1","Host":"h.example","Prefix":"/a/","TargetDurationMs":600,"Service":"p1",)"
    R"("Attempts":2,"Stretch":1.6,"Priority":1,"Anonymous":false},)"
    R"({"Name":"r2","Host":"h.example","Prefix":"/a/b/","Service":"p2","Anonymous":true}],)"
    R"("Services":[{"Name":"p1"},{"Name":"p2","Standby":true}],"Limits":{"MaxBodyBytes":1000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Weight":65,"MaxCount":{"Cpu":3000}}]})"};

constexpr char executorText[]{
    R"({"Service":"p1","Address":"10.1.0.9:80","Zone":"z","State":"ready","born":5,)"
    R"("FreeCapacity":{"Cpu":16000,"MemMb":32768},"Labels":["a","r1-3"],"Machine":"m1"})"};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

class messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(messages_test);
    CPPUNIT_TEST(readsConfiguration);
    CPPUNIT_TEST(picksQueueWithLongestPrefix);
    CPPUNIT_TEST(readsExecutor);
    CPPUNIT_TEST(rejectsMalformedExecutors);
    CPPUNIT_TEST(readsSubmission);
    CPPUNIT_TEST(rejectsMalformedSubmissions);
    CPPUNIT_TEST(rejectsJobsWhoseProgressCantBeStored);
    CPPUNIT_TEST(wireNamesAppearOnlyInThePlatformFolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsConfiguration()
    {
        const auto config = decodeCatalogue(configText);
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, config->version);
        CPPUNIT_ASSERT_EQUAL(2U, config->queues.at(0).maxAttempts);
        CPPUNIT_ASSERT(config->pools.at(1).standby);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, findTeamByKey(*config, "k2")->limit.cpu);
        CPPUNIT_ASSERT(!findTeamByKey(*config, "k3"));
        CPPUNIT_ASSERT(!decodeCatalogue("{}"));
    }

    void picksQueueWithLongestPrefix()
    {
        const auto config = decodeCatalogue(configText);
        CPPUNIT_ASSERT_EQUAL(std::string{"r2"}, findQueue(*config, "h.example", "/a/b/1")->name);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, findQueue(*config, "h.example", "/a/1")->name);
        CPPUNIT_ASSERT(!findQueue(*config, "other.example", "/a/1"));
    }

    void readsExecutor()
    {
        const auto info = decodeExecutor("i-1", executorText);
        CPPUNIT_ASSERT(info.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, info->capacity.cpu);
        CPPUNIT_ASSERT_EQUAL(std::string{"m1"}, info->vm);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, info->startedUnixMs);
        CPPUNIT_ASSERT(!info->draining);
    }

    void rejectsMalformedExecutors()
    {
        CPPUNIT_ASSERT(!decodeExecutor("i", "\x80\x81"));
        CPPUNIT_ASSERT(!decodeExecutor("i", replaced(executorText, "ready", "resting")));
        CPPUNIT_ASSERT(!decodeExecutor("i", replaced(executorText, "\"p1\"", "5")));
        CPPUNIT_ASSERT(!decodeExecutor("i", replaced(executorText, "10.1.0.9:80", "nowhere")));
        CPPUNIT_ASSERT(!decodeExecutor("i", replaced(executorText, "FreeCapacity", "Other")));
    }

    void readsSubmission()
    {
        const auto job = decodeSubmission(
            R"({"Spec":"s","Phases":[{"Count":4,"Cpu":500,"EstimateMs":900},)"
            R"({"Count":2,"After":[0],"LongRunning":true,"MayMiss":1,"Fills":true}]})");
        CPPUNIT_ASSERT(job.has_value());
        CPPUNIT_ASSERT_EQUAL(4U, job->steps.at(0).taskCount);
        CPPUNIT_ASSERT(job->steps.at(1).longRunning && job->steps.at(1).backfill);
        CPPUNIT_ASSERT_EQUAL(1U, job->steps.at(1).maxUnavailable);
    }

    void rejectsMalformedSubmissions()
    {
        for (const char *const each :
             {"", "[]", "{}", R"({"Phases":[]})", R"({"Phases":[{"Count":0}]})",
              R"({"Phases":[{"Count":"4"}]})", R"({"Phases":[{"Count":1,"After":[0]}]})",
              R"({"Phases":[{"Count":1,"Cpu":-5}]})", R"({"Phases":[{"Count":1000000}]})"})
            CPPUNIT_ASSERT_MESSAGE(each, !decodeSubmission(each));
    }

    /** The progress of such a job exceeds one value of the store. Its write would be refused for
       ever, and with it all progress in the same write. */
    void rejectsJobsWhoseProgressCantBeStored()
    {
        const std::string step{R"({"Count":2000})"};
        std::string steps = step;
        for (int count = 1; count < 5; ++count)
            steps += ',' + step;
        CPPUNIT_ASSERT(decodeSubmission(R"({"Phases":[)" + steps + "]}"));
        CPPUNIT_ASSERT(!decodeSubmission(R"({"Phases":[)" + steps + ',' + step + "]}"));
    }

    void wireNamesAppearOnlyInThePlatformFolder()
    {
        for (const auto &entry :
             std::filesystem::recursive_directory_iterator{AZURELB_SOURCE "/src"}) {
            if (!entry.is_regular_file())
                continue;
            std::ifstream file{entry.path()};
            std::stringstream text;
            text << file.rdbuf();
            for (const char *const each :
                 {"run-start", "run-stop", "kv-txn", "kv-watch", "machine-move", "FencingToken",
                  "EndedRuns", "LastSeen", "ExpiresMs", "X-Target-Instance", "\"Phases\""})
                CPPUNIT_ASSERT_MESSAGE(entry.path().string() + " has " + each,
                                       text.str().find(each) == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(messages_test);

} // namespace
