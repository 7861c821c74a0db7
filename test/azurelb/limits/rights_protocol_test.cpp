#include "simulated_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace azurelb::test {

namespace {

const team_name choir{"choir"};

/** A fleet in which the team's limit has been minted. */
class started_fleet : public simulated_fleet
{
public:
    started_fleet(std::size_t size, right_count limit, unsigned seed = 1)
        : simulated_fleet{size, {}, seed}
    {
        setLimit(choir, limit);
        advance(3s);
    }
};

class rights_protocol_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_protocol_test);
    CPPUNIT_TEST(mintsTheLimitOnce);
    CPPUNIT_TEST(rightsMoveToTheOnlyLoadedDaemon);
    CPPUNIT_TEST(rightsMoveToTheOnlyLoadedDaemonDespiteLoss);
    CPPUNIT_TEST(loadedDaemonsShareTheLimit);
    CPPUNIT_TEST(scarceRightsRotateAmongDaemons);
    CPPUNIT_TEST(idleRightsAreNotMoved);
    CPPUNIT_TEST(pausedDaemonKeepsItsRights);
    CPPUNIT_TEST(rightsOfALostDaemonAreReclaimedAfterTheRequestTime);
    CPPUNIT_TEST(rightsOfARestartedDaemonAreReclaimed);
    CPPUNIT_TEST(removedDaemonIsClosedAfterAPause);
    CPPUNIT_TEST(removedDaemonIsClosedAfterAPartition);
    CPPUNIT_TEST(closingDaemonStartsNoWork);
    CPPUNIT_TEST(closingDaemonIsNotifiedWhenItsMessagesAreLost);
    CPPUNIT_TEST(majorityRenewsProofsWhileTheStoreIsDown);
    CPPUNIT_TEST(wrongVmListStopsNoDaemon);
    CPPUNIT_TEST(daemonStartedWhileTheStoreIsDownGetsRights);
    CPPUNIT_TEST(daemonUnknownToAPeerGetsNoRights);
    CPPUNIT_TEST(loweredLimitHoldsOnceReportedInForce);
    CPPUNIT_TEST(leavingDaemonGivesItsRightsAway);
    CPPUNIT_TEST_SUITE_END();

public:
    void mintsTheLimitOnce()
    {
        simulated_fleet fleet{3};
        fleet.setLimit(choir, 12);
        fleet.advance(3s);
        CPPUNIT_ASSERT_EQUAL(right_count{12}, fleet.held(choir));
    }

    void rightsMoveToTheOnlyLoadedDaemon() { checkTimeToGather(0); }

    void rightsMoveToTheOnlyLoadedDaemonDespiteLoss() { checkTimeToGather(0.05); }

    void loadedDaemonsShareTheLimit()
    {
        started_fleet fleet{3, 30};
        setLoad(fleet, 0, 100);
        runLoads(fleet, 3s);
        setLoad(fleet, 1, 100);
        runLoads(fleet, 3s);
        CPPUNIT_ASSERT(std::abs(fleet.daemons[0]->running[choir] - 15) <= 2);
        CPPUNIT_ASSERT(std::abs(fleet.daemons[1]->running[choir] - 15) <= 2);
    }

    void scarceRightsRotateAmongDaemons()
    {
        started_fleet fleet{4, 2};
        std::set<member> served;
        for (std::size_t index = 0; index < 4; ++index)
            setLoad(fleet, index, 5);
        for (int round = 0; round < 100; ++round) {
            runLoads(fleet, 100ms);
            for (const auto &daemon : fleet.daemons)
                if (daemon->running[choir] > 0)
                    served.insert(daemon->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, served.size());
    }

    void idleRightsAreNotMoved()
    {
        started_fleet fleet{3, 30};
        setLoad(fleet, 2, 5);
        runLoads(fleet, 2s);
        setLoad(fleet, 2, 0);
        runLoads(fleet, 2s);
        const right_count moved = movedBy(fleet);
        runLoads(fleet, 20s);
        CPPUNIT_ASSERT_EQUAL(moved, movedBy(fleet));
    }

    void pausedDaemonKeepsItsRights()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &paused = gatherAt(fleet, 1, 9);
        paused.paused = true;
        setLoad(fleet, 2, 9);
        runLoads(fleet, 600s);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, fleet.running(choir));
        setLoad(fleet, 2, 0);
        runLoads(fleet, 1s);
        fleet.resume(paused);
        fleet.advance(1s);
        fleet.acquireAll(paused, choir);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.running(choir));
    }

    void rightsOfALostDaemonAreReclaimedAfterTheRequestTime()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &lost = gatherAt(fleet, 1, 9);
        fleet.kill(lost);
        fleet.removeVm(lost);
        setLoad(fleet, 2, 9);
        runLoads(fleet, fleet.options.maxRequestTime - 1s);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, fleet.daemons[2]->running[choir]);
        runLoads(fleet, fleet.options.maxProofAge + 6s);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.daemons[2]->running[choir]);
    }

    /** The VM stays listed; the replacement is detected by the new daemon with the same VM name. */
    void rightsOfARestartedDaemonAreReclaimed()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &lost = gatherAt(fleet, 1, 9);
        fleet.kill(lost);
        fleet.start(lost.id.vm.value());
        setLoad(fleet, 2, 9);
        runLoads(fleet, fleet.options.replacementDelay + fleet.options.maxRequestTime);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, fleet.daemons[2]->running[choir]);
        runLoads(fleet, fleet.options.maxProofAge + 8s);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.daemons[2]->running[choir]);
    }

    void removedDaemonIsClosedAfterAPause() { checkRemovedDaemonIsClosed(true); }

    void removedDaemonIsClosedAfterAPartition() { checkRemovedDaemonIsClosed(false); }

    void closingDaemonStartsNoWork()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &removed = gatherAt(fleet, 1, 8);
        removed.paused = true;
        fleet.removeVm(removed);
        fleet.advance(5s);
        removed.paused = false;
        fleet.advance(5s);
        fleet.release(removed, choir);
        CPPUNIT_ASSERT(!fleet.acquire(removed, choir));
        CPPUNIT_ASSERT(removed.protocol->isClosed());
    }

    void closingDaemonIsNotifiedWhenItsMessagesAreLost()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &removed = gatherAt(fleet, 1, 9);
        removed.cutOut = true;
        fleet.removeVm(removed);
        fleet.advance(5s);
        CPPUNIT_ASSERT(removed.protocol->isClosed());
    }

    /** All proofs have expired and the store is down: echoes of a majority renew them. */
    void majorityRenewsProofsWhileTheStoreIsDown()
    {
        started_fleet fleet{3, 9};
        fleet.storeDown = true;
        for (const auto &daemon : fleet.daemons)
            daemon->paused = true;
        fleet.advance(60s);
        for (const auto &daemon : fleet.daemons)
            fleet.resume(*daemon);
        gatherAt(fleet, 1, 9);
    }

    void wrongVmListStopsNoDaemon()
    {
        started_fleet fleet{3, 9};
        for (std::size_t index = 0; index < 3; ++index)
            setLoad(fleet, index, 3);
        for (const auto &daemon : fleet.daemons)
            fleet.departures.gone.insert(daemon->id);
        runLoads(fleet, 2 * fleet.options.maxRequestTime);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.running(choir));
    }

    void daemonStartedWhileTheStoreIsDownGetsRights()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &giver = gatherAt(fleet, 1, 9);
        fleet.storeDown = true;
        simulated_daemon &added = fleet.start("entry-9");
        setLoad(fleet, 3, 4);
        fleet.advance(2s);
        fleet.releaseAll(giver, choir);
        runLoads(fleet, 3s);
        CPPUNIT_ASSERT_EQUAL(right_count{4}, added.running[choir]);
        // The rights of the added daemon must be counted when the giver is reclaimed.
        fleet.kill(giver);
        fleet.removeVm(giver);
        fleet.storeDown = false;
        setLoad(fleet, 2, 9);
        runLoads(fleet, fleet.options.maxRequestTime + fleet.options.maxProofAge + 6s);
        CPPUNIT_ASSERT_EQUAL(right_count{5}, fleet.daemons[2]->running[choir]);
    }

    /**
     * While the store is down, a daemon that is not known to all others gets no rights: if it
     * paused and the giver was lost, its rights could not be counted.
     */
    void daemonUnknownToAPeerGetsNoRights()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &giver = gatherAt(fleet, 1, 9);
        fleet.storeDown = true;
        fleet.daemons[0]->paused = true;
        simulated_daemon &added = fleet.start("entry-9");
        setLoad(fleet, 3, 9);
        fleet.releaseAll(giver, choir);
        runLoads(fleet, 3s);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, added.running[choir]);
        fleet.resume(*fleet.daemons[0]);
        runLoads(fleet, 3s);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, added.running[choir]);
    }

    void loweredLimitHoldsOnceReportedInForce()
    {
        started_fleet fleet{3, 12};
        for (std::size_t index = 0; index < 3; ++index)
            setLoad(fleet, index, 4);
        runLoads(fleet, 3s);
        fleet.setLimit(choir, 5);
        fleet.advance(3s);
        CPPUNIT_ASSERT_EQUAL(right_count{12}, fleet.running(choir));
        CPPUNIT_ASSERT(!fleet.daemons[2]->protocol->status(choir).inForce);
        for (int round = 0; round < 12; ++round) {
            fleet.release(*fleet.daemons[round % 3], choir);
            fleet.advance(1s);
            const bool inForce = fleet.daemons[2]->protocol->status(choir).inForce;
            CPPUNIT_ASSERT(!inForce || fleet.running(choir) <= 5);
        }
        CPPUNIT_ASSERT(fleet.daemons[2]->protocol->status(choir).inForce);
        CPPUNIT_ASSERT_EQUAL(right_count{5}, fleet.held(choir));
    }

    void leavingDaemonGivesItsRightsAway()
    {
        started_fleet fleet{3, 9};
        simulated_daemon &leaving = gatherAt(fleet, 1, 9);
        leaving.protocol->handOver();
        fleet.releaseAll(leaving, choir);
        fleet.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(right_count{0}, leaving.protocol->status(choir).held);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.held(choir));
    }

private:
    /** Sets the number of requests that the daemon keeps running or waiting. */
    static void setLoad(simulated_fleet &fleet, std::size_t index, right_count wanted)
    {
        fleet.daemons[index]->waiting[choir] = wanted;
    }

    /** Runs all loads for a time. In each tick one request per daemon ends and new ones start. */
    static void runLoads(simulated_fleet &fleet, duration time)
    {
        for (const time_point end = fleet.now + time; fleet.now < end;) {
            for (const auto &daemon : fleet.daemons)
                runLoadAt(fleet, *daemon);
            fleet.advance(fleet.options.tickInterval);
            fleet.verify();
        }
    }

    static void runLoadAt(simulated_fleet &fleet, simulated_daemon &daemon)
    {
        const auto found = daemon.waiting.find(choir);
        if (found == daemon.waiting.end() || !daemon.isUp())
            return;
        const right_count wanted = found->second;
        fleet.release(daemon, choir);
        fleet.releaseAll(daemon, choir, wanted);
        fleet.acquireAll(daemon, choir, wanted);
        daemon.protocol->setDemand(choir, wanted - daemon.running[choir], fleet.now);
    }

    static simulated_daemon &gatherAt(simulated_fleet &fleet, std::size_t index, right_count count)
    {
        simulated_daemon &daemon = *fleet.daemons[index];
        setLoad(fleet, index, count);
        runLoads(fleet, 3s);
        CPPUNIT_ASSERT_EQUAL(count, daemon.running[choir]);
        daemon.waiting.erase(choir);
        daemon.protocol->setDemand(choir, 0, fleet.now);
        return daemon;
    }

    static right_count movedBy(const simulated_fleet &fleet)
    {
        right_count sum = 0;
        for (const auto &daemon : fleet.daemons)
            sum += daemon->protocol->moved();
        return sum;
    }

    /** A paused or partitioned daemon returns after its VM was removed and its rights reclaimed. */
    static void checkRemovedDaemonIsClosed(bool isPaused)
    {
        started_fleet fleet{3, 9};
        simulated_daemon &removed = gatherAt(fleet, 1, 9);
        removed.paused = isPaused;
        removed.cutIn = removed.cutOut = removed.storeCut = !isPaused;
        fleet.removeVm(removed);
        fleet.advance(1s);
        fleet.releaseAll(removed, choir);
        setLoad(fleet, 2, 9);
        runLoads(fleet, fleet.options.maxRequestTime + fleet.options.maxProofAge + 6s);
        CPPUNIT_ASSERT_EQUAL(right_count{9}, fleet.daemons[2]->running[choir]);
        removed.cutIn = removed.cutOut = removed.storeCut = false;
        fleet.resume(removed);
        for (int round = 0; round < 100; ++round) {
            fleet.advance(fleet.options.tickInterval);
            CPPUNIT_ASSERT(!fleet.acquire(removed, choir));
        }
        CPPUNIT_ASSERT(removed.protocol->isClosed());
    }

    /** Load moves from nine daemons to one, which must reach 95 % of the limit within 2 s. */
    static void checkTimeToGather(double loss)
    {
        constexpr right_count limit{100};
        constexpr right_count wanted{95};
        duration slowest{};
        for (unsigned seed = 1; seed <= 20; ++seed) {
            started_fleet fleet{9, limit, seed};
            fleet.network.loss = loss;
            for (std::size_t index = 0; index < 9; ++index)
                setLoad(fleet, index, 11);
            runLoads(fleet, 3s);
            CPPUNIT_ASSERT(fleet.running(choir) >= wanted);
            for (std::size_t index = 0; index < 9; ++index)
                setLoad(fleet, index, index == seed % 9 ? limit : 0);
            const simulated_daemon &only = *fleet.daemons[seed % 9];
            const time_point begun = fleet.now;
            while (only.running.at(choir) < wanted && fleet.now - begun <= 2s)
                runLoads(fleet, fleet.options.tickInterval);
            slowest = std::max(slowest, fleet.now - begun);
            CPPUNIT_ASSERT(slowest <= 2s);
        }
        std::cout << " slowest of 20 fleets "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(slowest).count()
                  << " ms";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_protocol_test);

} // namespace

} // namespace azurelb::test
