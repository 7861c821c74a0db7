#include <azurelb/keyspace/key_revisions.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;

class key_revisions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_revisions_test);
    CPPUNIT_TEST(unknownKeyHasNoRevision);
    CPPUNIT_TEST(followsWrites);
    CPPUNIT_TEST(conflictCorrectsOutdatedRevisions);
    CPPUNIT_TEST(callWithoutAnswerChangesNothing);
    CPPUNIT_TEST(answerThatWasOvertakenChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownKeyHasNoRevision()
    {
        CPPUNIT_ASSERT_EQUAL(store_revision{0}, m_revisions.of("a"));
        m_revisions.record({"a", "x", 3, false});
        CPPUNIT_ASSERT_EQUAL(store_revision{3}, m_revisions.of("a"));
        m_revisions.record({"a", {}, 4, true});
        CPPUNIT_ASSERT_EQUAL(store_revision{0}, m_revisions.of("a"));
    }

    void followsWrites()
    {
        m_revisions.record({"b", "x", 3, false});
        m_revisions.apply(keyspace_write{}.replace({"a", "x", 0}, 0).remove("b", 3),
                          {keyspace_error::none, 7, {}});
        CPPUNIT_ASSERT_EQUAL(store_revision{7}, m_revisions.of("a"));
        CPPUNIT_ASSERT_EQUAL(store_revision{0}, m_revisions.of("b"));
    }

    void conflictCorrectsOutdatedRevisions()
    {
        m_revisions.record({"a", "x", 3, false});
        m_revisions.record({"b", "x", 3, false});
        m_revisions.record({"c", "x", 3, false});
        m_revisions.apply(keyspace_write{}.replace({"a", "x", 0}, 3).replace({"b", "x", 0}, 3),
                          {keyspace_error::conflict, 0, {{"a", "y", 9, false}, {"b", {}, 0}}});
        CPPUNIT_ASSERT_EQUAL(store_revision{9}, m_revisions.of("a"));
        CPPUNIT_ASSERT_EQUAL(store_revision{0}, m_revisions.of("b"));
        CPPUNIT_ASSERT_EQUAL(store_revision{3}, m_revisions.of("c"));
    }

    void callWithoutAnswerChangesNothing()
    {
        m_revisions.record({"a", "x", 3, false});
        m_revisions.apply(keyspace_write{}.remove("a", 3), {keyspace_error::unknown, 0, {}});
        CPPUNIT_ASSERT_EQUAL(store_revision{3}, m_revisions.of("a"));
    }

    void answerThatWasOvertakenChangesNothing()
    {
        const keyspace_write write = keyspace_write{}.replace({"a", "x", 0}, 0);
        m_revisions.apply(write, {keyspace_error::none, 7, {}});
        m_revisions.apply(write, {keyspace_error::conflict, 0, {{"a", "y", 5, false}}});
        CPPUNIT_ASSERT_EQUAL(store_revision{7}, m_revisions.of("a"));
    }

private:
    key_revisions m_revisions{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_revisions_test);

} // namespace
