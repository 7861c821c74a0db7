#include <azurelb/capacity/burst_predictor.hpp>
#include <azurelb/capacity/pool_planner.hpp>
#include <azurelb/capacity/wave_planner.hpp>
#include <azurelb/capacity/wave_progress.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace azurelb;
using std::chrono::milliseconds;

constexpr resources vmCapacity{64'000, 131'072, 0};

vm_view idleVm(const std::string &name, const std::string &pool, boot_time since)
{
    vm_view vm;
    vm.vm = name;
    vm.pool = pool;
    vm.capacity = vmCapacity;
    vm.up = true;
    vm.idleSince = since;
    return vm;
}

class pool_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pool_planner_test);
    CPPUNIT_TEST(idleVmsMoveToThePoolWithTheLargestDeficit);
    CPPUNIT_TEST(standbyVmsCoverTheRemainingDemand);
    CPPUNIT_TEST(unusedVmsMoveToStandby);
    CPPUNIT_TEST(busyAndReservedVmsStay);
    CPPUNIT_TEST(needsAtLeastMinVmsAndSpread);
    CPPUNIT_TEST(spreadBeyondAllVmsMovesNone);
    CPPUNIT_TEST(lateJobsNeedFewerVms);
    CPPUNIT_TEST(keepsVmsReadyBetweenBursts);
    CPPUNIT_TEST(readyVmsMoveToThePoolThatNeedsThem);
    CPPUNIT_TEST(tasksLeaveAPartOfAVmUnused);
    CPPUNIT_TEST(keepsTheVmsOfTheNextBurstActive);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pools = {{"a", false, {}, 0}, {"b", false, {}, 0}, {"spare", true, {}, 0}};
        m_options.readyShare = 0;
        m_options.expectedFactor = 1;
    }

    /** VMs that go to standby between two bursts have to come back for the second one, which takes
        two moves and delays its first seconds. */
    void keepsTheVmsOfTheNextBurstActive()
    {
        add("a", 8);
        add("b", 4);
        m_options.minActiveVms = 10;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan().size());
        m_options.minActiveVms = 12;
        CPPUNIT_ASSERT(plan().empty());
    }

    void idleVmsMoveToThePoolWithTheLargestDeficit()
    {
        m_pools[1].load.demand.cpu = 5 * vmCapacity.cpu;
        add("a", 6);
        add("b", 1);
        const auto moves = plan();
        const auto toLargestDeficit = std::count_if(
            moves.begin(), moves.end(), [](const vm_move &each) { return each.pool == "b"; });
        // Demand of 5 VMs needs 4, and 1 is present; the surplus VM moves to standby.
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, toLargestDeficit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, moves.size());
    }

    void tasksLeaveAPartOfAVmUnused()
    {
        // 7 tasks of 8.5 cores use 59.5 of 64 cores.
        pool_load load;
        load.expectedCores = 59.5 * 100;
        CPPUNIT_ASSERT(vmsNeeded(load, vmCapacity, {}) >= 99);
    }

    void standbyVmsCoverTheRemainingDemand()
    {
        m_pools[0].load.expectedCores = 5 * 64;
        add("a", 2);
        add("b", 2);
        add("spare", 8);
        const auto moves = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, moves.size());
        CPPUNIT_ASSERT(moves.front().vm.starts_with("spare"));
    }

    void unusedVmsMoveToStandby()
    {
        add("a", 5);
        add("b", 2);
        const auto moves = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"spare"}, moves.front().pool);
        m_now -= milliseconds{9'500};
        CPPUNIT_ASSERT(plan().empty());
    }

    void busyAndReservedVmsStay()
    {
        add("a", 6);
        m_vms[0].shortRuns = 1;
        m_vms[1].longRuns = 1;
        m_vms[2].reserved = true;
        m_vms[3].hasPendingOrder = true;
        m_vms[4].up = false;
        m_pools[1].load.demand.cpu = 9 * vmCapacity.cpu;
        CPPUNIT_ASSERT(plan().size() <= 1);
    }

    void spreadBeyondAllVmsMovesNone()
    {
        add("a", 4);
        add("b", 4);
        m_pools[0].load.minDistinctExecutors = 6;
        m_options.minActiveVms = 8;
        CPPUNIT_ASSERT(!plan().empty());
        m_pools[0].load.minDistinctExecutors = 9;
        CPPUNIT_ASSERT(plan().empty());
    }

    void needsAtLeastMinVmsAndSpread()
    {
        pool_load load;
        CPPUNIT_ASSERT_EQUAL(m_options.minVms, vmsNeeded(load, vmCapacity, m_options));
        load.minDistinctExecutors = 7;
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, vmsNeeded(load, vmCapacity, m_options));
        load.longRunningDemand.memory = 9 * vmCapacity.memory;
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, vmsNeeded(load, vmCapacity, m_options));
    }

    /** Guards against a late backlog that keeps VMs from the pool with the next burst. */
    void lateJobsNeedFewerVms()
    {
        pool_load load;
        load.demand.cpu = 20 * vmCapacity.cpu;
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, vmsNeeded(load, vmCapacity, m_options));
        load.lateDemand.cpu = 10 * vmCapacity.cpu;
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, vmsNeeded(load, vmCapacity, m_options));
    }

    /** Guards against empty pools at the start of a burst, where most jobs would wait for VMs. */
    void keepsVmsReadyBetweenBursts()
    {
        m_options.readyShare = 0.5;
        add("a", 8);
        add("b", 2);
        add("spare", 6);
        const auto moves = plan();
        // The target is 4 per pool: 2 idle VMs move to pool b, 2 to standby.
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, countTo(moves, "b"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, countTo(moves, "spare"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, moves.size());
    }

    void readyVmsMoveToThePoolThatNeedsThem()
    {
        m_options.readyShare = 0.5;
        m_pools[1].load.expectedCores = 9 * 64;
        add("a", 4);
        add("b", 4);
        add("spare", 2);
        const auto moves = plan();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, countTo(moves, "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, moves.size());
    }

private:
    void add(const std::string &pool, int count)
    {
        for (int index = 0; index < count; ++index)
            m_vms.push_back(idleVm(pool + std::to_string(index), pool, boot_time{}));
    }

    [[nodiscard]] static std::ptrdiff_t countTo(const std::vector<vm_move> &moves,
                                                const std::string &pool)
    {
        return std::count_if(moves.begin(), moves.end(),
                             [&pool](const vm_move &each) { return each.pool == pool; });
    }

    [[nodiscard]] std::vector<vm_move> plan() const
    {
        return planMoves(m_pools, m_vms, m_now, m_options);
    }

    pool_planner_options m_options{};
    std::vector<planned_pool> m_pools{};
    std::vector<vm_view> m_vms{};
    boot_time m_now{std::chrono::seconds{10}};
};

/** Replays queues that burst in rotation for 4.5 s each. */
class burst_predictor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(burst_predictor_test);
    CPPUNIT_TEST(detectsTheFirstBurstWithinHalfASecond);
    CPPUNIT_TEST(expectsTheNextPoolOnceAllHaveHadABurst);
    CPPUNIT_TEST(expectsNoBurstBeforeAllPoolsHaveHadOne);
    CPPUNIT_TEST(expectsTheLastPoolOfTheFirstRotation);
    CPPUNIT_TEST(sharesTheForecastAmongPoolsWithoutABurst);
    CPPUNIT_TEST(extrapolatesARisingRate);
    CPPUNIT_TEST(largeJobsBetweenBurstsAreNoBurst);
    CPPUNIT_TEST(rateWithinABurstIsNotSetBySingleJobs);
    CPPUNIT_TEST(largestBurstIsKnownOnceOneHasEnded);
    CPPUNIT_TEST(aFewLargeJobsAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_predictor.setEqualShare(burstCores); }

    void detectsTheFirstBurstWithinHalfASecond()
    {
        replay(milliseconds{500});
        CPPUNIT_ASSERT(m_predictor.expectedCores("p0", m_now) > burstCores * 0.8);
        CPPUNIT_ASSERT(m_predictor.expectedCores("p1", m_now) < burstCores * 0.1);
    }

    void largestBurstIsKnownOnceOneHasEnded()
    {
        replay(burstTime / 2);
        CPPUNIT_ASSERT(!m_predictor.largestBurst());
        replay(burstTime / 2 + milliseconds{2000});
        (void)m_predictor.expectedCores("p0", m_now);
        CPPUNIT_ASSERT(m_predictor.largestBurst().has_value());
        CPPUNIT_ASSERT(*m_predictor.largestBurst() > burstCores * 0.8);
    }

    /** Two large jobs at once look like the onset of a burst. Taken for one, they would shorten the
        expected interval between bursts, and the VMs of the next one would be sent away. */
    void aFewLargeJobsAreForgotten()
    {
        m_predictor.recordArrival("p0", 500 * burstCores, m_now);
        m_predictor.recordArrival("p0", 500 * burstCores, m_now);
        CPPUNIT_ASSERT(m_predictor.hasSeenBurst());
        m_now += milliseconds{1800};
        (void)m_predictor.expectedCores("p0", m_now);
        CPPUNIT_ASSERT(!m_predictor.hasSeenBurst());
        CPPUNIT_ASSERT(!m_predictor.largestBurst());
    }

    void expectsTheNextPoolOnceAllHaveHadABurst()
    {
        // 1.5 s, the time of a move, before the second burst of the first pool.
        replay(4 * burstTime - milliseconds{1500});
        CPPUNIT_ASSERT(m_predictor.expectedCores("p0", m_now) > burstCores * 0.7);
        replay(milliseconds{1500} + burstTime - milliseconds{1500});
        CPPUNIT_ASSERT(m_predictor.expectedCores("p1", m_now) > burstCores * 0.7);
        CPPUNIT_ASSERT(m_predictor.expectedCores("p2", m_now) < burstCores * 0.1);
    }

    void expectsNoBurstBeforeAllPoolsHaveHadOne()
    {
        replay(3 * burstTime - milliseconds{1500});
        CPPUNIT_ASSERT(m_predictor.expectedCores("p0", m_now) < burstCores * 0.1);
    }

    /** Guards against pools without VMs at the start of their first burst: on cantoria-large each
        queue bursts once a day. */
    void expectsTheLastPoolOfTheFirstRotation()
    {
        replay(3 * burstTime - milliseconds{1500});
        CPPUNIT_ASSERT(m_predictor.expectedCores("p3", m_now) > burstCores * 0.7);
    }

    void sharesTheForecastAmongPoolsWithoutABurst()
    {
        replay(2 * burstTime - milliseconds{1500});
        for (const char *pool : {"p2", "p3"}) {
            const double cores = m_predictor.expectedCores(pool, m_now);
            CPPUNIT_ASSERT(cores > burstCores * 0.35 && cores < burstCores * 0.6);
        }
        CPPUNIT_ASSERT(m_predictor.expectedCores("p0", m_now) < burstCores * 0.1);
    }

    /** A burst of many small jobs that rises over four seconds: VMs that are ordered for the
       present rate arrive when the rate is higher. */
    void extrapolatesARisingRate()
    {
        constexpr milliseconds step{10};
        constexpr milliseconds rise{4000};
        const auto rateAt = [&](milliseconds time) {
            return burstCores * static_cast<double>(time.count())
                / static_cast<double>(rise.count());
        };
        for (milliseconds time{0}; time < milliseconds{2000}; time += step, m_now += step)
            m_predictor.recordArrival("p0", rateAt(time) * static_cast<double>(step.count()),
                                      m_now);
        const double expected = m_predictor.expectedCores("p0", m_now);
        CPPUNIT_ASSERT(expected > rateAt(milliseconds{3000}));
        CPPUNIT_ASSERT(expected < rateAt(milliseconds{4000}));
    }

    /** Guards against single large jobs that count as bursts: the rotation is then wrong, and a
     * pool keeps VMs for a burst that it has had while another pool lacks them. */
    void largeJobsBetweenBurstsAreNoBurst()
    {
        replay(burstTime);
        for (int pool = 1; pool < pools; ++pool) {
            m_predictor.recordArrival("p" + std::to_string(pool), largeJob, m_now);
            m_now += milliseconds{1500};
            m_predictor.recordArrival("p" + std::to_string(pool), 1, m_now);
        }
        for (int wait = 0; wait < 40; ++wait, m_now += milliseconds{150})
            CPPUNIT_ASSERT(m_predictor.expectedCores("p0", m_now) < burstCores * 0.3);
    }

    void rateWithinABurstIsNotSetBySingleJobs()
    {
        // The work of a burst in 5 jobs per second.
        for (int job = 0; job < 20; ++job, m_now += milliseconds{200}) {
            m_predictor.recordArrival("p0", burstCores * 200, m_now);
            if (job < 5)
                continue;
            const double cores = m_predictor.expectedCores("p0", m_now + milliseconds{190});
            CPPUNIT_ASSERT(cores > burstCores * 0.75 && cores < burstCores * 1.25);
        }
    }

private:
    /** In core-milliseconds: 30 s on 10 cores. */
    static constexpr double largeJob{300'000};
    static constexpr milliseconds burstTime{4500};
    static constexpr milliseconds tick{20};
    static constexpr double burstCores{1000};
    static constexpr int pools{4};

    void replay(milliseconds time)
    {
        for (const boot_time end = m_now + time; m_now < end; m_now += tick) {
            const auto active = ((m_now - m_begun) / burstTime) % pools;
            for (int pool = 0; pool < pools; ++pool) {
                const double cores = pool == active ? burstCores : burstCores / 100;
                m_predictor.recordArrival("p" + std::to_string(pool),
                                          cores * static_cast<double>(tick.count()), m_now);
            }
        }
    }

    boot_time m_begun{std::chrono::seconds{100}};
    boot_time m_now{m_begun};
    burst_predictor m_predictor{{}};
};

class wave_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wave_planner_test);
    CPPUNIT_TEST(emptyVmsGoFirstUpToTheParallelLimit);
    CPPUNIT_TEST(busyVmsAreReservedInTimeForTheDeadline);
    CPPUNIT_TEST(stepsAreInterruptedInParallel);
    CPPUNIT_TEST(longChainsOfInterruptionsBeginAtOnce);
    CPPUNIT_TEST(longChainsBeginBeforeEmptyVms);
    CPPUNIT_TEST(vmsWithShortRunsAreReservedOnlyNearTheDeadline);
    CPPUNIT_TEST(vacatedVmIsMaintainedBeforeTheNextIsReserved);
    CPPUNIT_TEST(vacatedVmsDoNotExceedTheParallelLimit);
    CPPUNIT_TEST(isCompleteOnceAllAreFinishedOrGone);
    CPPUNIT_TEST(vmThatIsMissingInAnOlderListIsUnfinished);
    CPPUNIT_TEST(progressIsEncodedAndDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int index = 0; index < 10; ++index) {
            m_fleet.vms.push_back(idleVm("m" + std::to_string(index), "a", boot_time{}));
            m_wave.vms.push_back(m_fleet.vms.back().vm);
        }
        m_wave.maxParallel = 3;
        m_wave.deadline = m_now + std::chrono::seconds{60};
        m_wave.knownAt = m_now;
        m_fleet.shownAt = m_now;
    }

    void emptyVmsGoFirstUpToTheParallelLimit()
    {
        m_fleet.vms[0].longRuns = 1;
        m_progress.inMaintenance = {"m9"};
        const wave_step step = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.vmsToMaintain.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"m1"}, step.vmsToMaintain.front());
    }

    void busyVmsAreReservedInTimeForTheDeadline()
    {
        for (vm_view &each : m_fleet.vms)
            each.longRuns = 1;
        const std::size_t early = plan().vmsToReserve.size();
        m_now = m_wave.deadline - std::chrono::seconds{5};
        CPPUNIT_ASSERT(early >= 1 && early < 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, plan().vmsToReserve.size());
    }

    /** Guards against reserving only VMs of one step, whose interruptions are sequential, while
     * other steps could be interrupted at the same time; the wave then misses its deadline. */
    void stepsAreInterruptedInParallel()
    {
        assignSteps({"job0", "job1"}, 26);
        const auto reserved = plan().vmsToReserve;
        const auto ofSecondJob = std::count_if(
            reserved.begin(), reserved.end(), [](const std::string &each) { return each >= "m5"; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, ofSecondJob);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, reserved.size());
    }

    void longChainsOfInterruptionsBeginAtOnce()
    {
        // 2 interruptions per step leave slack within 40 s; 5 per step within 26 s leave none.
        assignSteps({"job0", "job1", "job2", "job3", "job4"}, 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan().vmsToReserve.size());
        assignSteps({"job0", "job1"}, 26);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan().vmsToReserve.size());
        // Short runs do not delay them either.
        for (vm_view &each : m_fleet.vms)
            each.shortRuns = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan().vmsToReserve.size());
    }

    /** Guards against empty VMs that use the full parallelism first, so that sequential
     * interruptions begin too late for the deadline. */
    void longChainsBeginBeforeEmptyVms()
    {
        assignSteps({"job0"}, 26);
        for (std::size_t index = 7; index < m_fleet.vms.size(); ++index) {
            m_fleet.vms[index].longRuns = 0;
            m_fleet.vms[index].steps.clear();
        }
        m_wave.maxParallel = 3;
        const wave_step step = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.vmsToReserve.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.vmsToMaintain.size());
    }

    void vmsWithShortRunsAreReservedOnlyNearTheDeadline()
    {
        for (vm_view &each : m_fleet.vms)
            each.shortRuns = 1;
        CPPUNIT_ASSERT(plan().vmsToReserve.empty());
        m_now = m_wave.deadline - std::chrono::seconds{10};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, plan().vmsToReserve.size());
    }

    /** Guards against VMs that are emptied one after the other and left unusable (review case 7):
        past the deadline, the next reservation took the place of the VM that had become empty. */
    void vacatedVmIsMaintainedBeforeTheNextIsReserved()
    {
        assignSteps({"job0"}, 26);
        m_wave.maxParallel = 1;
        m_now = m_wave.deadline + std::chrono::seconds{1};
        m_fleet.vms[4].reserved = true;
        m_fleet.vms[4].longRuns = 0;
        m_fleet.vms[4].steps.clear();
        const wave_step step = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, step.vmsToReserve.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.vmsToMaintain.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"m4"}, step.vmsToMaintain.front());
    }

    /** Waves share reserved VMs, so that there may be more of them than one wave permits. */
    void vacatedVmsDoNotExceedTheParallelLimit()
    {
        m_wave.maxParallel = 2;
        m_progress.inMaintenance = {"m9"};
        for (std::size_t index = 3; index < 7; ++index)
            m_fleet.vms[index].reserved = true;
        const wave_step step = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.vmsToMaintain.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"m3"}, step.vmsToMaintain.front());
    }

    void isCompleteOnceAllAreFinishedOrGone()
    {
        CPPUNIT_ASSERT(!plan().completed);
        for (int index = 0; index < 9; ++index)
            m_progress.finished.insert("m" + std::to_string(index));
        CPPUNIT_ASSERT(!plan().completed);
        m_fleet.vms.pop_back();
        CPPUNIT_ASSERT(plan().completed);
    }

    /** Guards against a wave that is completed without the maintenance of a VM that was added
        after the list had been read (review case 14). */
    void vmThatIsMissingInAnOlderListIsUnfinished()
    {
        m_wave.vms = {"added"};
        m_fleet.shownAt = m_wave.knownAt - milliseconds{1};
        CPPUNIT_ASSERT(!plan().completed);
        CPPUNIT_ASSERT(plan().vmsToMaintain.empty());
        m_fleet.shownAt = m_wave.knownAt;
        CPPUNIT_ASSERT(plan().completed);
    }

    void progressIsEncodedAndDecoded()
    {
        m_progress.finished = {"m1", "m2"};
        m_progress.deadlineUnix = milliseconds{1'700'000'000'000};
        const auto read = decodeWaveProgress(encodeWaveProgress(4, m_progress));
        CPPUNIT_ASSERT(read.progress.deadlineUnix == m_progress.deadlineUnix);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, read.number);
        CPPUNIT_ASSERT(read.progress.finished == m_progress.finished);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, decodeWaveProgress("{").number);
    }

private:
    /** Gives each of the ten VMs one task; the jobs get equal consecutive blocks of VMs. */
    void assignSteps(const std::vector<std::string> &jobs, int seconds)
    {
        const std::size_t share = m_fleet.vms.size() / jobs.size();
        for (std::size_t index = 0; index < m_fleet.vms.size(); ++index) {
            m_fleet.vms[index].longRuns = 1;
            m_fleet.vms[index].steps = {{{jobs[index / share], 0, 0, 0}, 1}};
        }
        m_wave.maxParallel = 10;
        m_wave.deadline = m_now + std::chrono::seconds{seconds};
    }

    [[nodiscard]] wave_step plan() const
    {
        return planWave(m_wave, m_progress, m_fleet, m_now, {});
    }

    wave_entry m_wave{};
    wave_progress m_progress{};
    fleet_snapshot m_fleet{};
    boot_time m_now{std::chrono::seconds{10}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_planner_test);
CPPUNIT_TEST_SUITE_REGISTRATION(burst_predictor_test);
CPPUNIT_TEST_SUITE_REGISTRATION(wave_planner_test);

} // namespace
