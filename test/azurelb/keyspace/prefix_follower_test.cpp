#include <support/fake_keyspace.hpp>

#include <azurelb/keyspace/prefix_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

class prefix_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prefix_follower_test);
    CPPUNIT_TEST(readsAllPagesThenFollows);
    CPPUNIT_TEST(noticesWhatWentWhileHistoryWasDropped);
    CPPUNIT_TEST(goesOnAfterTheStoreRefused);
    CPPUNIT_TEST(mayBeDestroyedByItsHandler);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsAllPagesThenFollows()
    {
        for (int index = 0; index < 5; ++index)
            m_store.put("a/" + std::to_string(index), "1");
        m_store.put("b/0", "1");
        follow();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_seen.size());
        m_store.put("a/0", "2");
        m_store.remove("a/1");
        run();
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_seen.at("a/0"));
        CPPUNIT_ASSERT(!m_seen.contains("a/1"));
    }

    void noticesWhatWentWhileHistoryWasDropped()
    {
        m_store.put("a/0", "1");
        m_store.put("a/1", "1");
        follow();
        m_store.refuses = true;
        // The watch that waits hears of this change; the next one is refused.
        m_store.put("a/2", "1");
        run();
        m_store.remove("a/1");
        m_store.dropHistory();
        m_store.refuses = false;
        run(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_seen.size());
        CPPUNIT_ASSERT(!m_seen.contains("a/1"));
    }

    void goesOnAfterTheStoreRefused()
    {
        m_store.refuses = true;
        follow();
        CPPUNIT_ASSERT(!m_follower->synced());
        m_store.put("a/0", "1");
        m_store.refuses = false;
        run(milliseconds{900});
        CPPUNIT_ASSERT(m_follower->synced());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_seen.size());
    }

    void mayBeDestroyedByItsHandler()
    {
        m_store.put("a/0", "1");
        m_store.put("a/1", "1");
        m_dropAtFirst = true;
        follow();
        CPPUNIT_ASSERT(!m_follower);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_seen.size());
    }

private:
    void follow()
    {
        m_follower = std::make_unique<prefix_follower>(m_loop, m_store, "a/", milliseconds{1000},
                                                       [this](const keyspace_item &item) {
                                                           if (item.removed)
                                                               m_seen.erase(item.key);
                                                           else
                                                               m_seen[item.key] = item.value;
                                                           if (m_dropAtFirst)
                                                               m_follower.reset();
                                                       });
        m_follower->start();
        run();
    }

    void run(milliseconds time = milliseconds{30})
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
    std::map<std::string, std::string> m_seen{};
    bool m_dropAtFirst{false};
    std::unique_ptr<prefix_follower> m_follower{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_follower_test);

} // namespace
