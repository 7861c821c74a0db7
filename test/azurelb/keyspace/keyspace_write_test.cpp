#include <azurelb/keyspace/keyspace_write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace azurelb;

/** A write without the revision of a key that it changes undoes newer ones if the store executes it
    late (review cases 8 and 9). The type leaves no way to make one. */
class keyspace_write_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keyspace_write_test);
    CPPUNIT_TEST(namesTheRevisionOfEachKeyThatItChanges);
    CPPUNIT_TEST(keyBesideAGuardHasNoConditionOfItsOwn);
    CPPUNIT_TEST(appendedWriteKeepsItsConditions);
    CPPUNIT_TEST(requirementAloneWritesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void namesTheRevisionOfEachKeyThatItChanges()
    {
        const keyspace_write write =
            keyspace_write{}.replace({"a", "x", 5}, 3).remove("b", 4).replace({"c", "y", 0}, 0);
        CPPUNIT_ASSERT_EQUAL(store_revision{3}, requiredRevision(write, "a"));
        CPPUNIT_ASSERT_EQUAL(store_revision{4}, requiredRevision(write, "b"));
        CPPUNIT_ASSERT_EQUAL(store_revision{0}, requiredRevision(write, "c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, write.size());
        CPPUNIT_ASSERT_EQUAL(store_lease_id{5}, write.operations().puts.front().lease);
    }

    void keyBesideAGuardHasNoConditionOfItsOwn()
    {
        const keyspace_write write =
            keyspace_write{}.replace({"a", "x", 0}, 3).putBeside("a", {"b", "y", 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, write.operations().conditions.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, write.operations().puts.size());
    }

    void appendedWriteKeepsItsConditions()
    {
        keyspace_write write;
        write.require("owner", 1).append(keyspace_write{}.remove("b", 4));
        CPPUNIT_ASSERT_EQUAL(store_revision{1}, requiredRevision(write, "owner"));
        CPPUNIT_ASSERT_EQUAL(store_revision{4}, requiredRevision(write, "b"));
    }

    void requirementAloneWritesNothing()
    {
        CPPUNIT_ASSERT(keyspace_write{}.require("a", 1).empty());
        CPPUNIT_ASSERT(!keyspace_write{}.remove("a", 1).empty());
    }

private:
    static store_revision requiredRevision(const keyspace_write &write, const std::string &key)
    {
        const auto &all = write.operations().conditions;
        const auto found = std::find_if(all.begin(), all.end(),
                                        [&key](const auto &each) { return each.key == key; });
        CPPUNIT_ASSERT(found != all.end());
        return found->revision;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keyspace_write_test);

} // namespace
