#include <azurelb/request/retry_budget.hpp>
#include <azurelb/request/retry_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace azurelb;

class retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(boundsRetriesToBurstAndShareOfRequests);
    CPPUNIT_TEST(retriesUnknownOutcomeOnlyIfIdempotent);
    CPPUNIT_TEST(chargesOnlyRetriesThatLoadUpstreams);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * In any order of requests and retries, the retries stay within the burst plus a tenth of the
     * first attempts.
     */
    void boundsRetriesToBurstAndShareOfRequests()
    {
        const bool holds = rc::check("retries <= burst + requests / 10", [] {
            const auto retryDemands =
                *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, maxAttempts));
            retry_budget budget;
            double requests = 0;
            double retries = 0;
            for (const unsigned demand : retryDemands) {
                budget.deposit();
                ++requests;
                for (unsigned index = 0; index < demand && budget.withdraw(); ++index)
                    ++retries;
            }
            RC_ASSERT(retries <= retry_budget::burstRetries + requests / 10.0 + 1e-6);
        });
        CPPUNIT_ASSERT(holds);
    }

    void retriesUnknownOutcomeOnlyIfIdempotent()
    {
        for (unsigned attempts = 1; attempts < maxAttempts; ++attempts) {
            CPPUNIT_ASSERT(!isRetryable(attempt_state::unknown, {false, attempts}));
            CPPUNIT_ASSERT(isRetryable(attempt_state::unknown, {true, attempts}));
            CPPUNIT_ASSERT(isRetryable(attempt_state::not_sent, {false, attempts}));
            CPPUNIT_ASSERT(isRetryable(attempt_state::refused, {false, attempts}));
            CPPUNIT_ASSERT(isRetryable(attempt_state::withheld, {false, attempts}));
            CPPUNIT_ASSERT(!isRetryable(attempt_state::answered, {true, attempts}));
        }
        CPPUNIT_ASSERT(!isRetryable(attempt_state::not_sent, {true, maxAttempts}));
    }

    void chargesOnlyRetriesThatLoadUpstreams()
    {
        CPPUNIT_ASSERT(needsBudget(attempt_state::unknown));
        CPPUNIT_ASSERT(needsBudget(attempt_state::refused));
        CPPUNIT_ASSERT(!needsBudget(attempt_state::not_sent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

} // namespace
