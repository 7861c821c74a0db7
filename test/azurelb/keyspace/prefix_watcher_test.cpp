#include <support/fake_keyspace.hpp>

#include <azurelb/keyspace/prefix_watcher.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

class prefix_watcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prefix_watcher_test);
    CPPUNIT_TEST(readsAllPagesThenWatches);
    CPPUNIT_TEST(reportsKeysRemovedWhileHistoryWasDropped);
    CPPUNIT_TEST(recoversAfterTheStoreRefused);
    CPPUNIT_TEST(mayBeDestroyedByItsHandler);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsAllPagesThenWatches()
    {
        for (int index = 0; index < 5; ++index)
            m_store.put("a/" + std::to_string(index), "1");
        m_store.put("b/0", "1");
        watch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_items.size());
        m_store.put("a/0", "2");
        m_store.remove("a/1");
        run();
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_items.at("a/0"));
        CPPUNIT_ASSERT(!m_items.contains("a/1"));
    }

    void reportsKeysRemovedWhileHistoryWasDropped()
    {
        m_store.put("a/0", "1");
        m_store.put("a/1", "1");
        watch();
        m_store.refuseCalls = true;
        // The pending watch reports this change; the next watch is refused.
        m_store.put("a/2", "1");
        run();
        m_store.remove("a/1");
        m_store.dropHistory();
        m_store.refuseCalls = false;
        run(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_items.size());
        CPPUNIT_ASSERT(!m_items.contains("a/1"));
    }

    void recoversAfterTheStoreRefused()
    {
        m_store.refuseCalls = true;
        watch();
        CPPUNIT_ASSERT(!m_watcher->isSynced());
        m_store.put("a/0", "1");
        m_store.refuseCalls = false;
        run(milliseconds{900});
        CPPUNIT_ASSERT(m_watcher->isSynced());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_items.size());
    }

    void mayBeDestroyedByItsHandler()
    {
        m_store.put("a/0", "1");
        m_store.put("a/1", "1");
        m_destroyInHandler = true;
        watch();
        CPPUNIT_ASSERT(!m_watcher);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_items.size());
    }

private:
    void watch()
    {
        m_watcher = std::make_unique<prefix_watcher>(m_loop, m_store, "a/", milliseconds{1000},
                                                     [this](const keyspace_item &item) {
                                                         if (item.removed)
                                                             m_items.erase(item.key);
                                                         else
                                                             m_items[item.key] = item.value;
                                                         if (m_destroyInHandler)
                                                             m_watcher.reset();
                                                     });
        m_watcher->start();
        run();
    }

    void run(milliseconds time = milliseconds{30})
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
    std::map<std::string, std::string> m_items{};
    bool m_destroyInHandler{false};
    std::unique_ptr<prefix_watcher> m_watcher{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_watcher_test);

} // namespace
