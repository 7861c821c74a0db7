#include "simulated_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace azurelb::test {

namespace {

const team_name choir{"choir"};

class rights_account_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_account_test);
    CPPUNIT_TEST(lateTransferOfAReclaimedDaemonIsIgnored);
    CPPUNIT_TEST(daemonWithANewRowNumberIsClosed);
    CPPUNIT_TEST(olderDocumentIsIgnored);
    CPPUNIT_TEST(statementCountsOnlyWithTheCurrentDocument);
    CPPUNIT_TEST(workEndsAfterTheLastStatement);
    CPPUNIT_TEST(proofIsValidFromTheTimeOfTheRequest);
    CPPUNIT_TEST(answersOfUnprovedPeersNeedAMajority);
    CPPUNIT_TEST_SUITE_END();

public:
    void lateTransferOfAReclaimedDaemonIsIgnored()
    {
        const member giver{vm_id{"a"}, incarnation{1}};
        rights_account account{member{vm_id{"b"}, incarnation{2}}};
        account.adopt(documentOf({{giver, 1}, {account.self(), 2}}), revision{1});
        account.adopt(documentOf({{giver, 1}, {account.self(), 2}}, true), revision{2});
        account.adopt(documentOf({{account.self(), 2}}), revision{3});
        CPPUNIT_ASSERT(!account.receive(giver, choir, 5));
        CPPUNIT_ASSERT_EQUAL(right_count{0}, account.holdings(choir));
    }

    void daemonWithANewRowNumberIsClosed()
    {
        const member giver{vm_id{"a"}, incarnation{1}};
        rights_account account{member{vm_id{"b"}, incarnation{2}}};
        account.adopt(documentOf({{giver, 1}, {account.self(), 2}}), revision{1});
        CPPUNIT_ASSERT(account.receive(giver, choir, 5));
        account.adopt(documentOf({{giver, 1}, {account.self(), 3}}), revision{9});
        CPPUNIT_ASSERT_EQUAL(right_count{0}, account.available(choir));
    }

    void olderDocumentIsIgnored()
    {
        rights_account account{member{vm_id{"a"}, incarnation{1}}};
        wire::rights_document document = documentOf({{account.self(), 1}});
        account.adopt(document, revision{2});
        document.mutable_holders(0)->add_minted()->set_count(5);
        account.adopt(document, revision{1});
        CPPUNIT_ASSERT_EQUAL(right_count{0}, account.holdings(team_name{}));
    }

    /** A peer may exchange rights with a closing holder until it has the current document. */
    void statementCountsOnlyWithTheCurrentDocument()
    {
        const member peer{vm_id{"b"}, incarnation{2}};
        rights_account account{member{vm_id{"a"}, incarnation{1}}};
        const fake_departures departures;
        rights_peers peers{account, departures, 30s};
        account.adopt(documentOf({{account.self(), 1}, {peer, 2}}), revision{2});
        wire::rights_message message;
        for (const int at : {1, 2}) {
            message.set_revision(at);
            peers.handleMessage(peer, message);
            document_inputs inputs;
            peers.fillInputs(inputs, time_point{}, 60s);
            CPPUNIT_ASSERT_EQUAL(at == 2, inputs.statements.contains(peer));
        }
    }

    /** A gone daemon may start work as long as one holder still exchanges rights with it. */
    void workEndsAfterTheLastStatement()
    {
        const member self{vm_id{"b"}, incarnation{2}};
        const member gone{vm_id{"a"}, incarnation{1}};
        const member other{vm_id{"c"}, incarnation{3}};
        rights_account account{self};
        fake_departures departures;
        departures.gone.insert(gone);
        rights_peers peers{account, departures, 30s};
        const auto document = documentOf({{gone, 1}, {self, 2}, {other, 3}}, true);
        account.adopt(document, revision{1});
        peers.adopt(document);
        const time_point begun{1000s};
        peers.update(begun);
        CPPUNIT_ASSERT(!isEnded(peers, gone, begun + 70s));
        wire::rights_message message;
        message.set_revision(1);
        message.add_statements()->mutable_closed()->set_vm("a");
        message.mutable_statements(0)->mutable_closed()->set_incarnation(1);
        peers.handleMessage(other, message);
        peers.update(begun + 70s);
        CPPUNIT_ASSERT(!isEnded(peers, gone, begun + 139s));
        CPPUNIT_ASSERT(isEnded(peers, gone, begun + 140s));
    }

    void proofIsValidFromTheTimeOfTheRequest()
    {
        membership_proof proof{10s};
        const time_point asked{1000s};
        proof.update(asked);
        proof.addEcho(member{}, proof.nonce(), true, 5);
        CPPUNIT_ASSERT(proof.isValid(asked + 9s));
        CPPUNIT_ASSERT(!proof.isValid(asked + 10s));
        proof.update(asked + 10s);
        const std::uint64_t lapsed = proof.nonce();
        proof.update(asked + 20s);
        proof.addEcho(member{}, lapsed, true, 5);
        CPPUNIT_ASSERT(!proof.isValid(asked + 20s));
    }

    void answersOfUnprovedPeersNeedAMajority()
    {
        membership_proof proof{10s};
        const time_point asked{1000s};
        proof.update(asked);
        proof.addEcho(member{vm_id{"a"}, incarnation{1}}, proof.nonce(), false, 5);
        CPPUNIT_ASSERT(!proof.isValid(asked));
        proof.addEcho(member{vm_id{"b"}, incarnation{2}}, proof.nonce(), false, 5);
        CPPUNIT_ASSERT(proof.isValid(asked));
    }

private:
    static bool isEnded(const rights_peers &peers, const member &gone, time_point now)
    {
        document_inputs inputs;
        peers.fillInputs(inputs, now, 70s);
        return inputs.ended.contains(gone);
    }

    static wire::rights_document documentOf(const std::map<member, std::uint64_t> &rows,
                                            bool firstCloses = false)
    {
        wire::rights_document document;
        for (const auto &[row, number] : rows) {
            wire::rights_holder &holder = *document.add_holders();
            holder.mutable_member()->set_vm(row.vm.value());
            holder.mutable_member()->set_incarnation(static_cast<std::uint64_t>(row.id));
            holder.set_number(number);
        }
        document.mutable_holders(0)->set_closing(firstCloses);
        return document;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_account_test);

} // namespace

} // namespace azurelb::test
