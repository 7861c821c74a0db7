#include <support/fake_keyspace.hpp>

#include <platform/relay_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

namespace {

using namespace azurelb;
using namespace azurelb::platform;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char addressKey[]{"azurelb/node/vm"};
constexpr char candidateKey[]{"azurelb/candidate/vm"};
constexpr char address[]{"127.0.0.1:7000"};
/** More than the delay before a write is repeated. */
constexpr milliseconds retryTime{1200};

class relay_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_directory_test);
    CPPUNIT_TEST(lateRegistrationLeavesTheEntriesOnTheirLease);
    CPPUNIT_TEST(registersAgainIfTheLeaseEndsDuringTheWrite);
    CPPUNIT_TEST(replacesTheEntriesOfAFormerProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a daemon that is missing among relays and candidates until it ends: a write
        without an answer, executed late, moved the entries to a lease that nobody renews. */
    void lateRegistrationLeavesTheEntriesOnTheirLease()
    {
        m_store.lateCommits = 1;
        start();
        run(retryTime);
        m_store.executeLateCommits();
        CPPUNIT_ASSERT(m_store.find(addressKey));
        CPPUNIT_ASSERT_EQUAL(m_store.lastGrantedLease(), m_store.leaseOf(addressKey));
        CPPUNIT_ASSERT_EQUAL(m_store.lastGrantedLease(), m_store.leaseOf(candidateKey));
    }

    void registersAgainIfTheLeaseEndsDuringTheWrite()
    {
        m_store.lateCommits = 1;
        start();
        run(milliseconds{100});
        m_store.endLease(m_store.lastGrantedLease());
        run(retryTime);
        CPPUNIT_ASSERT(m_store.find(addressKey));
        CPPUNIT_ASSERT_EQUAL(m_store.lastGrantedLease(), m_store.leaseOf(addressKey));
    }

    void replacesTheEntriesOfAFormerProcess()
    {
        m_store.put(addressKey, "127.0.0.1:1");
        m_store.put(candidateKey, "9");
        start();
        run(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::string{address}, m_store.find(addressKey)->value);
        CPPUNIT_ASSERT(m_store.find(candidateKey)->value != "9");
    }

private:
    void start()
    {
        m_directory.emplace(m_loop, m_store, "vm", address, 1.0,
                            [](const std::vector<std::string> &) {});
        m_directory->start();
    }

    void run(milliseconds time)
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
    std::optional<relay_directory> m_directory{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_directory_test);

} // namespace
