#include <support/captured_log.hpp>
#include <support/fake_keyspace.hpp>

#include <azurelb/capacity/wave_progress.hpp>
#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/control/owner.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/control/vm_service.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/metrics/metrics.hpp>

#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char firstJob[]{"aaaaaaaaaaaaaaaa"};
constexpr char secondJob[]{"bbbbbbbbbbbbbbbb"};
constexpr char executorName[]{"e1"};
constexpr char waveStateKey[]{"state/wave"};
/** The owner publishes its load twice a second. */
constexpr milliseconds publishTime{650};

/** Executors without runs. Start orders wait for a connection until they are sent. */
class fake_gateway final : public executor_gateway
{
public:
    struct queued_start
    {
        start_order order{};
        send_permission maySend{};
        start_handler done{};
    };

    explicit fake_gateway(boost::asio::io_context &loop)
        : m_loop{loop}
    { }

    void setToken(std::int64_t) override { }

    void report(const report_request &request, report_handler done) override
    {
        asked.insert(request.executor);
        requests.push_back(request);
        if (holdsReports) {
            heldReports.push_back(std::move(done));
            return;
        }
        if (silent || request.executor == silentExecutor) {
            boost::asio::post(m_loop, [done = std::move(done)] { done(executor_reply{}); });
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_loop, std::min(request.wait, milliseconds{50}));
        timer->async_wait(
            [this, timer, request, done = std::move(done)](const boost::system::error_code &) {
                executor_reply reply;
                reply.outcome = report_outcome::reported;
                reply.report.clock = milliseconds{1000};
                reply.report.startedUnixMs = startedUnixMs;
                reply.reduced = reduced;
                if (request.acknowledged != 0 && answerToAcknowledgement != 0) {
                    reply.report.startedUnixMs = std::exchange(answerToAcknowledgement, 0);
                    reply.reduced = true;
                    done(std::move(reply));
                    return;
                }
                acknowledged = std::max(acknowledged, request.acknowledged);
                const bool lists = acknowledged < lastEnd.sequence;
                if (lists)
                    reply.report.ended.push_back(lastEnd);
                done(std::move(reply));
                if (lists && onListedEnd)
                    onListedEnd();
            });
    }

    void start(const std::string &, const start_order &order, send_permission maySend,
               start_handler done) override
    {
        queue.push_back({order, std::move(maySend), std::move(done)});
    }

    void stop(const std::string &, const stop_order &, stop_handler done) override
    {
        boost::asio::post(m_loop, [done = std::move(done)] { done(start_outcome::started); });
    }

    void pace(const std::string &, const cpu_share_order &, stop_handler) override { }
    void disconnect(const executor_id &) override { }

    std::vector<queued_start> queue{};
    /** Executors from which a report was requested. */
    std::set<executor_id> asked{};
    std::vector<report_request> requests{};
    std::int64_t startedUnixMs{1};
    /** Report requests are sent without acknowledgement and lease. */
    bool reduced{false};
    /** Incarnation that answers the identification before the next acknowledgement; 0 if none. */
    std::int64_t answerToAcknowledgement{0};
    /** Executors do not answer. */
    bool silent{false};
    executor_id silentExecutor{};
    /** Report requests are answered by the test. */
    bool holdsReports{false};
    std::vector<report_handler> heldReports{};
    /** End that is listed until it is acknowledged; none if its sequence is 0. */
    ended_run lastEnd{};
    std::int64_t acknowledged{0};
    /** Called after an answer that lists an end. */
    std::function<void()> onListedEnd{};

private:
    boost::asio::io_context &m_loop;
};

class fake_vm_service final : public vm_service
{
public:
    void setToken(std::int64_t) override { }
    void list(list_handler done) override
    {
        if (isAway)
            done({});
        else if (!vms.empty())
            done({true, vms});
    }
    void move(const std::string &vm, const std::string &pool, send_permission,
              order_handler) override
    {
        ++movesTo[pool];
        ++movesOf[vm];
    }
    void maintain(const std::string &vm, std::int64_t, send_permission maySend,
                  order_handler done) override
    {
        maintained.push_back(vm);
        mayMaintain = std::move(maySend);
        if (refusesMaintenance)
            done(vm_order_outcome::refused);
        else if (answersMaintenance)
            done(vm_order_outcome::done);
    }

    /** Not listed while it is empty. */
    std::vector<vm_entry> vms{};
    std::map<std::string, unsigned> movesTo{};
    std::map<std::string, unsigned> movesOf{};
    std::vector<std::string> maintained{};
    /** Permission of the last order for maintenance. */
    send_permission mayMaintain{};
    bool answersMaintenance{false};
    bool refusesMaintenance{false};
    /** The list can't be read. */
    bool isAway{false};
};

class fake_directory final : public executor_directory
{
public:
    explicit fake_directory(listener &out)
        : m_out{out}
    { }

    void start(listener to) override
    {
        m_out = std::move(to);
        m_out.synced();
    }

    [[nodiscard]] read_state state() const override { return {boot_clock::now(), std::nullopt}; }

private:
    listener &m_out;
};

/** An owner that acts on outdated knowledge starts jobs whose cancellation was acknowledged to
    their caller. Seen on a VM with too little processor time: runs were started 5 to 8 s after the
    cancellation. */
class owner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owner_test);
    CPPUNIT_TEST(startsJobs);
    CPPUNIT_TEST(usesAnExecutorThatWasSilentAgain);
    CPPUNIT_TEST(usesAnExecutorThatRegistersAgainAfterACut);
    CPPUNIT_TEST(doesNotUseAnEndedExecutorThatIsStillListed);
    CPPUNIT_TEST(registrationBeforeThePassDoesNotReviveAnEndedExecutor);
    CPPUNIT_TEST(refusedReportOfTheFormerIncarnationDoesNotEndTheNewOne);
    CPPUNIT_TEST(expectsTheNextBurstAfterATakeover);
    CPPUNIT_TEST(orderIsNotGivenUpByAListThatMayBeOlder);
    CPPUNIT_TEST(deadlineOfAWaveSurvivesATakeover);
    CPPUNIT_TEST(newExecutorIsNoProofOfMaintenance);
    CPPUNIT_TEST(waveIncludesAVmThatTheListDoesNotShowYet);
    CPPUNIT_TEST(waveIncludesAVmThatCameWhileTheListWasAway);
    CPPUNIT_TEST(waveIsCompletedWithoutAVmThatHasLeft);
    CPPUNIT_TEST(vmThatLeavesDuringItsMaintenanceFreesItsPlace);
    CPPUNIT_TEST(changedWaveIncludesItsNewVms);
    CPPUNIT_TEST(refusedMaintenanceIsNotFinished);
    CPPUNIT_TEST(maintenanceInTheListIsProofOfIt);
    CPPUNIT_TEST(repeatedMaintenanceOrderEndsNoExecutor);
    CPPUNIT_TEST(withholdsAMaintenanceOrderOfAnEndedOwner);
    CPPUNIT_TEST(firstPlanOfAWaveKnowsItsSequentialInterruptions);
    CPPUNIT_TEST(jobsReadBeforeTheirProgressAreNotRunAgain);
    CPPUNIT_TEST(endsOfJobsUnderAnUnreadConfigurationCount);
    CPPUNIT_TEST(endsOfUnreadJobsAreNotAcknowledged);
    CPPUNIT_TEST(endedJobsAreKeptFromTheirEndOn);
    CPPUNIT_TEST(endedJobsOfEarlierVersionsAreKeptFromTheirLoadingOn);
    CPPUNIT_TEST(endedJobsAreRemovedAfterTheirRetention);
    CPPUNIT_TEST(endIsStoredWithTheJob);
    CPPUNIT_TEST(inheritedJobsDoNotWaitForAnExecutorThatWasReplaced);
    CPPUNIT_TEST(inheritedJobsWaitForAnExecutorThatTheListMayNotShowYet);
    CPPUNIT_TEST(inheritedJobsWaitWhileAVmIsListedWithoutItsExecutor);
    CPPUNIT_TEST(startsNothingWhileTheWatchOfJobsIsSilent);
    CPPUNIT_TEST(withholdsAnOrderThatWaitedThroughAPause);
    CPPUNIT_TEST(withholdsAnOrderWhoseRunWasGivenUp);
    CPPUNIT_TEST(countsOrdersThatAnotherIncarnationCarriedOut);
    CPPUNIT_TEST(orderThatMeetsAnotherIncarnationEndsAcknowledgementsToTheFormerOne);
    CPPUNIT_TEST(eachEndIsAcknowledgedOnce);
    CPPUNIT_TEST(nothingIsRenewedBehindAnUnansweredOrder);
    CPPUNIT_TEST(runOnAnotherClockIsNotRepeatedDuringItsLease);
    CPPUNIT_TEST(handsOverWhileItIsBehind);
    CPPUNIT_TEST(yieldsToAMuchLargerVm);
    CPPUNIT_TEST(yieldKeepsWhatThePredecessorRecorded);
    CPPUNIT_TEST(onlyOneOwnerInARowYields);
    CPPUNIT_TEST(lateYieldLeavesAnActiveOwnerOnRecord);
    CPPUNIT_TEST(lateRecordOfAnActiveOwnerLeavesItsEndOnRecord);
    CPPUNIT_TEST(ownerBecomesActiveBehindItsOwnLateYield);
    CPPUNIT_TEST(handoverBeforeTheFirstOrderKeepsWhatThePredecessorRecorded);
    CPPUNIT_TEST(handoverBesideAnUnreachableExecutorIsNotOrderly);
    CPPUNIT_TEST(handoverSoonAfterAnOrderlyOneIsOrderly);
    CPPUNIT_TEST(damagedEntryOfACandidateIsIgnored);
    CPPUNIT_TEST(recordWithoutAnAddressNamesNoExecutor);
    CPPUNIT_TEST(firstStartIsLoggedWithItsIncarnationAndLease);
    CPPUNIT_TEST(repeatedStartIsLoggedAfterTheReason);
    CPPUNIT_TEST(startsOfALargeStepAreLoggedInLinesOfBoundedLength);
    CPPUNIT_TEST(acknowledgementIsLoggedOnce);
    CPPUNIT_TEST(reportOnAnotherIncarnationIsLogged);
    CPPUNIT_TEST(withheldAcknowledgementIsLogged);
    CPPUNIT_TEST(silentExecutorIsLoggedWithWhatItMayHaveGot);
    CPPUNIT_TEST(withheldAcknowledgementIsRepeated);
    CPPUNIT_TEST(lateCountsOfWaitingJobsReplaceNoNewerOnes);
    CPPUNIT_TEST(unansweredCountsOfWaitingJobsArePublishedAgain);
    CPPUNIT_TEST(lateForecastReplacesNoNewerOne);
    CPPUNIT_TEST(firstCountsAfterATakeoverReplaceThoseOfThePredecessor);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log.emplace();
        m_store.put(std::string{store_keys::jobRecord(firstJob)}, encode(makeJob(firstJob)));
        const store_revision token = m_store.put(std::string{store_keys::owner}, "me");
        owner::options options;
        options.gate.jobsAge = milliseconds{1200};
        m_owner = std::make_unique<owner>(
            owner::services{
                m_loop, m_store, m_gateway, m_vms,
                [this] { return std::make_unique<fake_directory>(m_directory); },
                [] {
                    return read_state{boot_clock::now(), std::nullopt};
                },
                [] {
                    return read_state{boot_clock::now(), std::nullopt};
                },
                [this](std::string_view) { ++m_yields; },
                [this](const wave_entry &wave) {
                    m_waveDeadline = wave.deadline;
                    return keyspace_put{waveStateKey, wave.completed ? "done" : "open", 0};
                },
                m_ownerMetrics},
            options, token, [this](std::string_view) { ++m_losses; });
    }

    void startOwner()
    {
        m_owner->start();
        run(milliseconds{100});
    }

    void tearDown() override
    {
        m_owner.reset();
        m_log.reset();
    }

    void startsJobs()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        CPPUNIT_ASSERT(m_gateway.queue.front().maySend());
    }

    /** Guards against VMs that are lost to the fleet after a cut of some seconds: the lease of
       their runs expires, but the executor lives and is still registered. */
    void usesAnExecutorThatWasSilentAgain()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.silent = true;
        run(milliseconds{4500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.silent = false;
        run(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway.queue.size());
        CPPUNIT_ASSERT_EQUAL(std::string{executorName}, m_gateway.queue.back().order.executor);
    }

    /** The order waits for its connection until the lease of its executor is over and the task has
        been started elsewhere. An executor that has restarted meanwhile would accept it. */
    void withholdsAnOrderWhoseRunWasGivenUp()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.queue.front().maySend());
        m_gateway.silent = true;
        run(milliseconds{4500});
        // An event on the jobs confirms them, so that starts are permitted.
        m_store.put(store_keys::jobCancel(secondJob), "{}");
        run(milliseconds{50});
        CPPUNIT_ASSERT(!m_gateway.queue.front().maySend());
    }

    /** The executor restarts before it gets the order, so that its clock begins anew. Unseen, the
        lease that it grants by this clock would be taken for one by the former clock. */
    void countsOrdersThatAnotherIncarnationCarriedOut()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        const fake_gateway::queued_start &order = m_gateway.queue.front();
        const prometheus::Counter &counted =
            m_metrics.counter("azurelb_orders_on_other_incarnation_total", "");
        const milliseconds sentAt = order.order.leaseEnd - scheduling_options{}.leaseTerm;
        order.done({start_outcome::started, sentAt + milliseconds{500}});
        CPPUNIT_ASSERT_EQUAL(0.0, counted.Value());
        order.done({start_outcome::started, milliseconds{3'600'000}});
        CPPUNIT_ASSERT_EQUAL(1.0, counted.Value());
    }

    /** The identification of an order shows the restart first, and a late report of the former
        incarnation arrives after it. Acknowledgements and leases that go on in the numbers and
        the clock of the former one may reach its successor. */
    void orderThatMeetsAnotherIncarnationEndsAcknowledgementsToTheFormerOne()
    {
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::failed, {}};
        startOwner();
        registerExecutor();
        run(milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, m_gateway.requests.back().startedUnixMs);
        executor_report report;
        report.startedUnixMs = 2;
        m_gateway.requests.clear();
        m_gateway.queue.front().done({start_outcome::restarted, std::nullopt, report});
        run(milliseconds{300});
        CPPUNIT_ASSERT(!m_gateway.requests.empty());
        for (const report_request &each : m_gateway.requests) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, each.startedUnixMs);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, each.acknowledged);
        }
    }

    /** A number that is sent again acknowledges ends that nobody has seen if it reaches another
        incarnation. */
    void eachEndIsAcknowledgedOnce()
    {
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::failed, {}};
        startOwner();
        registerExecutor();
        run(milliseconds{1000});
        const auto acknowledges = [](const report_request &each) {
            return each.acknowledged != 0;
        };
        const auto &requests = m_gateway.requests;
        CPPUNIT_ASSERT(requests.size() > 5);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             std::count_if(requests.begin(), requests.end(), acknowledges));
    }

    /** The executor may have restarted since. The answer to a report that was requested before the
        order is no proof of the contrary. */
    void nothingIsRenewedBehindAnUnansweredOrder()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{400});
        CPPUNIT_ASSERT(m_gateway.requests.back().leaseEnd);
        m_gateway.requests.clear();
        m_gateway.queue.front().done({start_outcome::unknown});
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.requests.size() > 2);
        CPPUNIT_ASSERT(!m_gateway.requests.front().leaseEnd);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_gateway.requests.front().acknowledged);
        CPPUNIT_ASSERT(m_gateway.requests.back().leaseEnd);
    }

    /** The executor is cut off before it has registered again or reported, so that only the
       answer shows that another incarnation carries the order out, under the longest lease. */
    void runOnAnotherClockIsNotRepeatedDuringItsLease()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.silentExecutor = executorName;
        registerExecutor("e2");
        m_gateway.queue.front().done({start_outcome::started, milliseconds{3'600'000}});
        run(milliseconds{5000});
        // An event on the jobs confirms them, so that starts are permitted.
        m_store.put(store_keys::jobCancel(secondJob), "{}");
        run(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        constexpr int attempts{20};
        for (int attempt = 0; attempt < attempts && m_gateway.queue.size() < 2; ++attempt) {
            m_store.put(store_keys::jobCancel(secondJob), "{}");
            run(milliseconds{200});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway.queue.size());
        CPPUNIT_ASSERT_EQUAL(executor_id{"e2"}, m_gateway.queue.back().order.executor);
    }

    /** The same after a longer cut, in which the store removes the registration of the
     * executor. */
    void usesAnExecutorThatRegistersAgainAfterACut()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        m_gateway.silent = true;
        m_directory.removed(executorName);
        run(milliseconds{4500});
        m_gateway.silent = false;
        registerExecutor();
        run(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway.queue.size());
    }

    /** An executor that has answered with another incarnation stays unused while the store
       still lists the former one. */
    void doesNotUseAnEndedExecutorThatIsStillListed()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.queue.front().done({start_outcome::other_incarnation});
        m_gateway.queue.clear();
        run(milliseconds{300});
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    /** Another executor has refused a report request for the former incarnation at its address; the
        answer arrives after the new registration. */
    void refusedReportOfTheFormerIncarnationDoesNotEndTheNewOne()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.holdsReports = true;
        run(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.heldReports.size());
        registerExecutor(executorName, "", 2);
        m_gateway.heldReports.front()({report_outcome::other_incarnation, {}});
        run(milliseconds{100});
        CPPUNIT_ASSERT(m_gateway.queue.front().maySend());
    }

    /** An incarnation that has ended must not be taken for a new one when the directory or the tick
       registers it again before the next scheduling pass. */
    void registrationBeforeThePassDoesNotReviveAnEndedExecutor()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_gateway.queue.front().done({start_outcome::other_incarnation});
        m_gateway.queue.clear();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    /** Three of four pools have had a burst under the previous owner, one every four seconds,
       and the fourth is due. An owner that forgets them moves VMs only after the burst has
       begun. */
    void expectsTheNextBurstAfterATakeover()
    {
        putFinishedBurst("a", milliseconds{12'000});
        putFinishedBurst("b", milliseconds{8000});
        putFinishedBurst("c", milliseconds{4000});
        startOwnerOfPools();
        run(milliseconds{1200});
        CPPUNIT_ASSERT(m_vms.movesTo["d"] >= 4);
    }

    /** Orders get no answer while the VM service is slow, and are carried out late; its list
       may show a state of a second ago. An order that counts as failed too soon frees its place
       in a wave: more VMs than permitted were in maintenance. */
    void orderIsNotGivenUpByAListThatMayBeOlder()
    {
        putFinishedBurst("a", milliseconds{12'000});
        putFinishedBurst("b", milliseconds{8000});
        putFinishedBurst("c", milliseconds{4000});
        startOwnerOfPools();
        run(milliseconds{4200});
        CPPUNIT_ASSERT(!m_vms.movesOf.empty());
        // A move takes 1.5 s, and the list may lag behind by 1.5 s and 1 s.
        for (const auto &[vm, moves] : m_vms.movesOf)
            CPPUNIT_ASSERT_EQUAL(1U, moves);
    }

    /** Operators give the deadline relative to their request. A daemon that has been restarted
        since reads the request later. */
    void deadlineOfAWaveSurvivesATakeover()
    {
        const milliseconds deadline = unixNow() + milliseconds{5000};
        wave_progress stored;
        stored.deadlineUnix = deadline;
        m_store.put(store_keys::wave(3), encodeWaveProgress(3, stored));
        wave_entry wave;
        wave.number = 3;
        wave.vms = {"vm0"};
        wave.deadline = boot_clock::now() + milliseconds{27'000};
        desired_state desired;
        desired.waves = {wave};
        m_vms.vms = {{"vm0", "a", vm_state::up, "zone", {64'000, 131'072, 0}, "e0"}};
        m_owner->apply(desired);
        startOwner();
        run(milliseconds{3500});
        const auto latest = decodeWaveProgress(m_store.find(store_keys::wave(3))->value);
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, m_store.find(waveStateKey)->value);
        CPPUNIT_ASSERT_EQUAL(deadline.count(), latest.progress.deadlineUnix.count());
        CPPUNIT_ASSERT(m_waveDeadline - boot_clock::now() < milliseconds{2500});
    }

    /** The order for a VM's maintenance gets no answer and is lost, and the VM's executor
       crashes. If its successor counts as proof, the wave is shown as completed without that
       maintenance. */
    void newExecutorIsNoProofOfMaintenance()
    {
        startWave();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        m_vms.vms.front().executor = "next";
        run(milliseconds{6500});
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, m_store.find(waveStateKey)->value);
        m_vms.answersMaintenance = true;
        registerExecutor("next", "vm0");
        run(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_vms.maintained.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** Guards against a wave that is shown as completed without the maintenance of a VM that was
        added just before: the last list was read earlier (review case 14). */
    void waveIncludesAVmThatTheListDoesNotShowYet()
    {
        m_vms.answersMaintenance = true;
        startFleetOfOneVm();
        requestWave({"added"});
        run(milliseconds{800});
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, m_store.find(waveStateKey)->value);
        m_vms.vms.push_back({"added", "pool", vm_state::up, "zone", {8000, 8000, 0}, "e2"});
        registerExecutor("e2", "added");
        run(milliseconds{2200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"added"}, m_vms.maintained.front());
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** The same for as long as the list can't be read. */
    void waveIncludesAVmThatCameWhileTheListWasAway()
    {
        m_vms.answersMaintenance = true;
        startFleetOfOneVm();
        m_vms.isAway = true;
        m_vms.vms.push_back({"added", "pool", vm_state::up, "zone", {8000, 8000, 0}, "e2"});
        registerExecutor("e2", "added");
        requestWave({"added"});
        run(milliseconds{4000});
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, m_store.find(waveStateKey)->value);
        m_vms.isAway = false;
        run(milliseconds{2200});
        CPPUNIT_ASSERT((m_vms.maintained == std::vector<std::string>{"added"}));
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** Guards against a wave that stays open for a VM that has been removed. */
    void waveIsCompletedWithoutAVmThatHasLeft()
    {
        startFleetOfOneVm();
        requestWave({"removed"});
        run(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
        CPPUNIT_ASSERT(m_vms.maintained.empty());
    }

    /** Guards against a wave that never ends: a VM is removed while its maintenance is under way,
        and keeps the only place of those in maintenance. */
    void vmThatLeavesDuringItsMaintenanceFreesItsPlace()
    {
        startFleetOfOneVm();
        m_vms.vms.push_back({"vm1", "pool", vm_state::up, "zone", {8000, 8000, 0}, "e2"});
        registerExecutor("e2", "vm1");
        requestWave({"vm0", "vm1"});
        run(milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        std::erase_if(m_vms.vms,
                      [this](const vm_entry &each) { return each.vm == m_vms.maintained.front(); });
        m_vms.answersMaintenance = true;
        run(milliseconds{6000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_vms.maintained.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** Guards against a wave that is completed without VMs that a second request under its number
        adds. */
    void changedWaveIncludesItsNewVms()
    {
        m_vms.answersMaintenance = true;
        startFleetOfOneVm();
        m_vms.vms.push_back({"vm1", "pool", vm_state::up, "zone", {8000, 8000, 0}, "e2"});
        registerExecutor("e2", "vm1");
        requestWave({"vm0"});
        run(milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
        m_vms.vms.front().executor = "e3";
        registerExecutor("e3", "vm0");
        run(milliseconds{2500});
        requestWave({"vm0", "vm1"});
        run(milliseconds{2000});
        CPPUNIT_ASSERT((m_vms.maintained == std::vector<std::string>{"vm0", "vm1"}));
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** Guards against a wave that is completed without the maintenance of a VM for which the
        platform refused it once: it reads the wave later than this daemon. */
    void refusedMaintenanceIsNotFinished()
    {
        m_vms.refusesMaintenance = true;
        startWave();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, m_store.find(waveStateKey)->value);
        m_vms.refusesMaintenance = false;
        m_vms.answersMaintenance = true;
        run(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_vms.maintained.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
    }

    /** The answer is lost, and the list shows that the order was carried out. */
    void maintenanceInTheListIsProofOfIt()
    {
        startWave();
        m_vms.vms.front().state = vm_state::maintenance;
        run(milliseconds{1000});
        m_vms.vms.front().state = vm_state::up;
        m_vms.vms.front().executor = "next";
        run(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
    }

    /** An earlier owner may have ordered the maintenance, which the platform then confirms
       again without any effect: the executor lives on. */
    void repeatedMaintenanceOrderEndsNoExecutor()
    {
        m_vms.answersMaintenance = true;
        startWave();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        m_store.put(store_keys::jobRecord(secondJob), encode(makeJob(secondJob)));
        run(milliseconds{6500});
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, m_store.find(waveStateKey)->value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
    }

    /** Two long-running tasks of which one may be unavailable are on two VMs of the wave, and a
       third VM is empty. If the first plan doesn't know that, empty VMs take all of the wave's
       parallel maintenance, and the sequential interruptions begin seconds later. */
    /** The order waits for a connection while another daemon becomes owner. Sent then, it would
        reach the VM service after orders of the new owner. */
    void withholdsAMaintenanceOrderOfAnEndedOwner()
    {
        startWave();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_vms.maintained.size());
        CPPUNIT_ASSERT(m_vms.mayMaintain());
        m_owner.reset();
        CPPUNIT_ASSERT(!m_vms.mayMaintain());
    }

    void firstPlanOfAWaveKnowsItsSequentialInterruptions()
    {
        job_record job = makeJob(secondJob);
        job.steps.front().taskCount = 2;
        job.steps.front().longRunning = true;
        job.steps.front().maxUnavailable = 1;
        m_store.put(store_keys::jobRecord(secondJob), encode(job));
        m_store.remove(store_keys::jobRecord(firstJob));
        std::vector<executor_registration> executors;
        wave_entry wave;
        wave.number = 3;
        wave.maxParallel = 1;
        wave.deadline = boot_clock::now() + milliseconds{13'000};
        for (const char *const number : {"0", "1", "2"}) {
            executor_registration info;
            info.id = std::string{"e"} + number;
            info.vm = std::string{"vm"} + number;
            info.address = std::string{"127.0.0.1:1"} + number;
            info.pool = "pool";
            info.capacity = {8000, 8000, 0};
            info.startedUnixMs = 1;
            m_vms.vms.push_back({info.vm, "pool", vm_state::up, "zone", info.capacity, info.id});
            wave.vms.push_back(info.vm);
            executors.push_back(std::move(info));
        }
        desired_state desired;
        desired.waves = {wave};
        m_owner->apply(desired);
        startOwner();
        for (const executor_registration &each : executors)
            m_directory.updated(each);
        run(milliseconds{3700});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway.queue.size());
        CPPUNIT_ASSERT(m_vms.maintained.empty());
    }

    /** The stored state is read concurrently, the progress in more pages than the jobs. */
    void jobsReadBeforeTheirProgressAreNotRunAgain()
    {
        constexpr int otherJobs{9};
        const std::string completed = encode(job_progress{job_state::completed, {}, {}});
        for (int index = 0; index < otherJobs; ++index)
            m_store.put(store_keys::jobProgress("000000000000000" + std::to_string(index)),
                        completed);
        m_store.put(store_keys::jobProgress(firstJob), completed);
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    /** The predecessor had read a newer configuration, and the executor lists the end of a run
       that it started under that one. If the end is dropped, the task runs again. */
    void endsOfJobsUnderAnUnreadConfigurationCount()
    {
        job_record job = makeJob(firstJob);
        job.configVersion = 2;
        m_store.put(std::string{store_keys::jobRecord(firstJob)}, encode(job));
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        startOwner();
        registerExecutor();
        run(milliseconds{500});
        desired_state desired;
        desired.config.version = 2;
        m_owner->apply(desired);
        run(milliseconds{500});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
        const auto stored = decodeProgress(m_store.find(store_keys::jobProgress(firstJob))->value);
        CPPUNIT_ASSERT(stored && stored->state == job_state::completed);
    }

    /** The predecessor started a job that was stored after this owner had read the jobs; the
       watch that shows it is late. */
    void endsOfUnreadJobsAreNotAcknowledged()
    {
        startOwner();
        m_store.silentWatches = true;
        m_store.put(std::string{store_keys::jobRecord(secondJob)}, encode(makeJob(secondJob)));
        m_gateway.lastEnd = {1, {secondJob, 0, 0, 0}, 7, run_end::done, {}};
        registerExecutor();
        run(milliseconds{400});
        m_store.silentWatches = false;
        run(milliseconds{2500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        CPPUNIT_ASSERT_EQUAL(std::string{firstJob}, m_gateway.queue.front().order.task.job);
        const auto stored = decodeProgress(m_store.find(store_keys::jobProgress(secondJob))->value);
        CPPUNIT_ASSERT(stored && stored->state == job_state::completed);
    }

    /** A job that took longer than its retention was removed by the next owner, seconds after
       it had completed: its caller was told that it doesn't exist. */
    void endedJobsAreKeptFromTheirEndOn()
    {
        putEndedJob(unixNow() - milliseconds{5000});
        startOwner();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(firstJob)) != nullptr);
    }

    void endedJobsOfEarlierVersionsAreKeptFromTheirLoadingOn()
    {
        putEndedJob(milliseconds{0});
        startOwner();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(firstJob)) != nullptr);
    }

    void endedJobsAreRemovedAfterTheirRetention()
    {
        putEndedJob(unixNow() - milliseconds{160'000});
        startOwner();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(firstJob)) == nullptr);
    }

    void endIsStoredWithTheJob()
    {
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        const auto stored = decodeProgress(m_store.find(store_keys::jobProgress(firstJob))->value);
        CPPUNIT_ASSERT(stored && stored->state == job_state::completed);
        const milliseconds age = unixNow() - stored->endedAt;
        CPPUNIT_ASSERT(age >= milliseconds{0} && age < milliseconds{1000});
    }

    /** The VM of a recorded executor was moved right before the takeover. Nobody holds the
       lease of its runs any more, so the jobs of its pool need not wait for it. */
    void inheritedJobsDoNotWaitForAnExecutorThatWasReplaced()
    {
        recordLostExecutor(milliseconds{20'000});
        startOwner();
        registerExecutor();
        run(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
    }

    /** The platform's list may be older than the executor: it is no proof that it has ended. */
    void inheritedJobsWaitForAnExecutorThatTheListMayNotShowYet()
    {
        recordLostExecutor(milliseconds{500});
        startOwner();
        registerExecutor();
        run(milliseconds{500});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    /** An entry without an identifier names no other executor: the runs of the known one may go on.
     */
    void inheritedJobsWaitWhileAVmIsListedWithoutItsExecutor()
    {
        recordLostExecutor(milliseconds{20'000});
        m_vms.vms.front().executor.clear();
        startOwner();
        registerExecutor();
        run(milliseconds{500});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    void startsNothingWhileTheWatchOfJobsIsSilent()
    {
        startOwner();
        m_store.silentWatches = true;
        m_store.put(store_keys::jobCancel(firstJob), "{}");
        run(milliseconds{2000});
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    void withholdsAnOrderThatWaitedThroughAPause()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        m_store.put(store_keys::jobCancel(firstJob), "{}");
        std::this_thread::sleep_for(milliseconds{1300});
        const fake_gateway::queued_start waiting = m_gateway.queue.front();
        CPPUNIT_ASSERT(!waiting.maySend());
        waiting.done({start_outcome::withheld});
        m_gateway.queue.clear();
        // The cancellation is read before anything is started again.
        m_store.put(store_keys::jobRecord(secondJob), encode(makeJob(secondJob)));
        run(milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
        CPPUNIT_ASSERT_EQUAL(std::string{secondJob}, m_gateway.queue.front().order.task.job);
        CPPUNIT_ASSERT(m_gateway.queue.front().maySend());
    }

    void handsOverWhileItIsBehind()
    {
        startOwner();
        m_store.silentWatches = true;
        run(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL(1, m_yields);
        CPPUNIT_ASSERT_EQUAL(std::string{"closed"}, lastOwner());
    }

    /** The owner of a fleet of 1,100 executors needs more than a tenth of a core: with a small
       VM as owner runs lapsed and jobs were lost from the callers' view. */
    void yieldsToAMuchLargerVm()
    {
        m_store.put(store_keys::candidate("same"), "1.5");
        m_store.put(store_keys::candidate("larger"), "2.0");
        startOwner();
        CPPUNIT_ASSERT_EQUAL(1, m_yields);
        registerExecutorIfStarted();
        CPPUNIT_ASSERT(m_gateway.queue.empty());
    }

    /** The next owner must still wait for the leases that a lost owner has granted. */
    void yieldKeepsWhatThePredecessorRecorded()
    {
        m_store.put(std::string{store_keys::lastOwner}, "open");
        m_store.put(store_keys::candidate("larger"), "4");
        startOwner();
        CPPUNIT_ASSERT_EQUAL(std::string{"yielded-open"}, lastOwner());
    }

    void onlyOneOwnerInARowYields()
    {
        m_store.put(std::string{store_keys::lastOwner}, "yielded-closed");
        m_store.put(store_keys::candidate("larger"), "4");
        startOwner();
        CPPUNIT_ASSERT_EQUAL(0, m_yields);
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
    }

    /** Guards against tasks that run twice: the write of a yield without an answer is executed
        while this owner gives orders. If the owner is killed then, the next one takes the handover
        for an orderly one and counts on shorter leases than those that were granted. */
    void lateYieldLeavesAnActiveOwnerOnRecord()
    {
        m_store.put(std::string{store_keys::lastOwner}, "closed");
        m_store.put(store_keys::candidate("larger"), "4");
        m_store.lateCommits = 1;
        startOwner();
        CPPUNIT_ASSERT_EQUAL(0, m_yields);
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
        m_store.executeLateCommits();
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
    }

    /** The next owner would wait for longer leases than there are. */
    void lateRecordOfAnActiveOwnerLeavesItsEndOnRecord()
    {
        m_store.lateCommits = 1;
        startOwner();
        run(milliseconds{200});
        m_owner->handOver([] {});
        run(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"closed"}, lastOwner());
        m_store.executeLateCommits();
        CPPUNIT_ASSERT_EQUAL(std::string{"closed"}, lastOwner());
    }

    /** The conflict with a write of its own is no sign that the key was lost. */
    void ownerBecomesActiveBehindItsOwnLateYield()
    {
        m_store.put(std::string{store_keys::lastOwner}, "closed");
        m_store.put(store_keys::candidate("larger"), "4");
        m_store.lostCommitReplies = 1;
        startOwner();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(0, m_losses);
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
        registerExecutorIfStarted();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway.queue.size());
    }

    /** Guards against tasks that run twice: the predecessor was lost and its leases last, but the
        daemon that follows it is stopped while it takes over. */
    void handoverBeforeTheFirstOrderKeepsWhatThePredecessorRecorded()
    {
        m_store.put(std::string{store_keys::lastOwner}, "open");
        m_owner->start();
        m_owner->handOver([this] { m_owner.reset(); });
        run(milliseconds{50});
        CPPUNIT_ASSERT(!m_owner);
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
    }

    /** Guards against tasks that run twice: a former owner, cut off with an executor, grants leases
        for some seconds more, and the owner that follows it is stopped meanwhile. The next one
       would count on leases of one term from its takeover. */
    void handoverBesideAnUnreachableExecutorIsNotOrderly()
    {
        m_store.put(std::string{store_keys::lastOwner}, "open");
        recordLostExecutor(milliseconds{20'000});
        m_vms.vms.clear();
        startOwner();
        run(milliseconds{300});
        m_owner->handOver([] {});
        run(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"open"}, lastOwner());
    }

    /** The leases of the predecessor end within one term of its handover. If daemons are stopped in
        turn, each owner would otherwise make the next one wait for the longest lease. */
    void handoverSoonAfterAnOrderlyOneIsOrderly()
    {
        m_store.put(std::string{store_keys::lastOwner}, "closed");
        recordLostExecutor(milliseconds{20'000});
        m_vms.vms.clear();
        startOwner();
        run(milliseconds{300});
        m_owner->handOver([] {});
        run(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::string{"closed"}, lastOwner());
    }

    void damagedEntryOfACandidateIsIgnored()
    {
        int number = 0;
        for (const char *const each : {"4x", "inf", "nan", "1e999", "-4", "[[[[", ""})
            m_store.put(store_keys::candidate("damaged" + std::to_string(++number)), each);
        startOwner();
        CPPUNIT_ASSERT_EQUAL(0, m_yields);
    }

    /** A client for an address that is none can't be made: each owner would end as soon as it
       has read the record. */
    void recordWithoutAnAddressNamesNoExecutor()
    {
        for (const char *const address : {"10.0.0.7:99999", "10.0.0.7", "10.0.0.7:0"}) {
            executor_registration info;
            info.id = "odd";
            info.address = address;
            m_store.put(store_keys::executor(info.id + address), encodeRegistration(info));
        }
        const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
        const std::string sound{R"({"id":"odd","address":"10.0.0.7:80","pool":"pool","born":)"};
        for (const std::string &each :
             {nested, sound + nested + '}', sound + "1e300}", sound + "99999999999999999999}",
              sound + "1e99999999999}", sound + R"("5"})", std::string{"\xff"}, std::string{}})
            m_store.put(store_keys::executor("odd" + std::to_string(each.size())), each);
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT(m_gateway.asked == std::set<executor_id>{executorName});
    }

    void firstStartIsLoggedWithItsIncarnationAndLease()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        const start_order &order = m_gateway.queue.front().order;
        const std::string line = onlyLine("910 run_ordered");
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::to_string(order.leaseEnd.count()), fieldOf(line, "lease_end_ms"));
        // The job was accepted before this owner took over.
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "start"));
        CPPUNIT_ASSERT_EQUAL(std::string{"earlier-owner"}, fieldOf(line, "former"));
        m_store.put(std::string{store_keys::jobRecord(secondJob)}, encode(makeJob(secondJob)));
        run(milliseconds{300});
        const auto lines = m_log->linesOf("910 run_ordered");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string{}, fieldOf(lines.back(), "start"));
    }

    /** The executor lists no run, so that the first one has ended. */
    void repeatedStartIsLoggedAfterTheReason()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        const fake_gateway::queued_start first = m_gateway.queue.front();
        first.done({start_outcome::started, milliseconds{1000}});
        run(milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway.queue.size());
        const std::string givenUp = onlyLine("915 run_given_up");
        CPPUNIT_ASSERT_EQUAL(std::string{"not-listed"}, fieldOf(givenUp, "reason"));
        const auto starts = m_log->linesOf("910 run_ordered");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, fieldOf(starts.back(), "start"));
        CPPUNIT_ASSERT_EQUAL(std::string{"not-listed"}, fieldOf(starts.back(), "former"));
        CPPUNIT_ASSERT_EQUAL(std::to_string(first.order.run), fieldOf(starts.back(), "former_run"));
        CPPUNIT_ASSERT(m_log->positionOf(givenUp) < m_log->positionOf(starts.back()));
    }

    /** A line of over 4,095 bytes is cut off, and with it the fields at its end. */
    void startsOfALargeStepAreLoggedInLinesOfBoundedLength()
    {
        constexpr std::uint32_t tasks{450};
        constexpr std::size_t maxLength{4000};
        job_record job = makeJob(firstJob);
        job.steps.front().taskCount = tasks;
        job.steps.front().request = {10, 10, 0};
        m_store.put(std::string{store_keys::jobRecord(firstJob)}, encode(job));
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, m_gateway.queue.size());
        std::size_t logged = 0;
        for (const std::string &each : m_log->linesOf("910 run_ordered")) {
            CPPUNIT_ASSERT(each.size() < maxLength);
            const std::string runs = fieldOf(each, "run");
            logged += static_cast<std::size_t>(std::count(runs.begin(), runs.end(), ',')) + 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, logged);
    }

    void acknowledgementIsLoggedOnce()
    {
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        startOwner();
        registerExecutor();
        run(milliseconds{600});
        const std::string end = onlyLine("916 ends_done");
        const std::string line = onlyLine("917 ends_acknowledged");
        CPPUNIT_ASSERT_EQUAL(std::string{"e1/1/1"}, fieldOf(line, "up_to"));
        CPPUNIT_ASSERT(m_log->positionOf(end) < m_log->positionOf(line));
    }

    /** The request with the number of the former incarnation's end has reached a new one, which
        would discard its own ends up to that number. */
    void reportOnAnotherIncarnationIsLogged()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{600});
        CPPUNIT_ASSERT(m_log->linesOf("927 report_on_other_incarnation").empty());
        m_gateway.onListedEnd = [this] {
            m_gateway.startedUnixMs = 2;
        };
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        run(milliseconds{300});
        const std::string line = onlyLine("927 report_on_other_incarnation");
        CPPUNIT_ASSERT_EQUAL(std::string{executorName}, fieldOf(line, "executor"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "expected_born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "up_to"));
        CPPUNIT_ASSERT(std::stoll(fieldOf(line, "lease_end_ms")) > 1000);
        CPPUNIT_ASSERT_EQUAL(
            1.0, m_metrics.counter("azurelb_reports_on_other_incarnation_total", "").Value());
    }

    void withheldAcknowledgementIsLogged()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        m_gateway.reduced = true;
        m_gateway.startedUnixMs = 2;
        run(milliseconds{60});
        m_gateway.reduced = false;
        run(milliseconds{300});
        const auto lines = m_log->linesOf("928 acknowledgement_withheld");
        CPPUNIT_ASSERT(!lines.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(lines.front(), "expected_born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, fieldOf(lines.front(), "born"));
        CPPUNIT_ASSERT(m_log->linesOf("927 report_on_other_incarnation").empty());
        CPPUNIT_ASSERT_EQUAL(
            static_cast<double>(lines.size()),
            m_metrics.counter("azurelb_acknowledgements_withheld_total", "").Value());
    }

    /** A request without an answer may have been carried out. */
    void silentExecutorIsLoggedWithWhatItMayHaveGot()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{600});
        m_gateway.onListedEnd = [this] {
            m_gateway.silent = true;
        };
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        run(milliseconds{300});
        const std::string line = onlyLine("920 executor_silent");
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "up_to"));
        CPPUNIT_ASSERT(std::stoll(fieldOf(line, "lease_end_ms")) > 1000);
    }

    /** The identification was answered by the former incarnation, so that nothing was sent. */
    void withheldAcknowledgementIsRepeated()
    {
        startOwner();
        registerExecutor();
        run(milliseconds{300});
        m_gateway.startedUnixMs = 2;
        run(milliseconds{300});
        m_gateway.answerToAcknowledgement = 1;
        m_gateway.lastEnd = {1, {firstJob, 0, 0, 0}, 7, run_end::done, {}};
        run(milliseconds{800});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_gateway.answerToAcknowledgement);
        const auto &requests = m_gateway.requests;
        const auto acknowledges = [](const report_request &each) {
            return each.acknowledged != 0 && each.startedUnixMs == 2;
        };
        CPPUNIT_ASSERT(std::count_if(requests.begin(), requests.end(), acknowledges) > 1);
    }

    /** Guards against a count that is far too low until it changes (review case 9): a write of the
        counts without an answer is executed after a newer one. */
    void lateCountsOfWaitingJobsReplaceNoNewerOnes()
    {
        startOwnerOfQueue();
        m_store.lateCommits = 1;
        putJob(secondJob);
        run(publishTime);
        putJob("cccccccccccccccc");
        run(publishTime);
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"queue":3})"}, waitingCounts());
        m_store.executeLateCommits();
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"queue":3})"}, waitingCounts());
    }

    /** The counts are again what was published before a write without an answer. If they were not
        written again, that write would replace them when it is executed late. */
    void unansweredCountsOfWaitingJobsArePublishedAgain()
    {
        startOwnerOfQueue();
        m_store.lateCommits = 1;
        putJob(secondJob);
        run(publishTime);
        CPPUNIT_ASSERT_EQUAL(0U, m_store.lateCommits);
        m_store.put(store_keys::jobCancel(secondJob), "{}");
        run(publishTime);
        m_store.executeLateCommits();
        run(publishTime);
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"queue":1})"}, waitingCounts());
    }

    /** Daemons would admit and reject jobs by a load of some seconds before. */
    void lateForecastReplacesNoNewerOne()
    {
        job_record job = makeJob(firstJob);
        job.steps.front().taskCount = 64;
        job.steps.front().estimate = milliseconds{10'000};
        m_store.put(store_keys::jobRecord(firstJob), encode(job));
        desired_state desired;
        desired.config.pools.push_back({"pool", false, false});
        m_vms.vms = {{"vm0", "pool", vm_state::up, "zone", {8000, 8000, 0}, executorName}};
        m_owner->apply(desired);
        startOwner();
        registerExecutor(executorName, "vm0");
        run(milliseconds{4000});
        m_store.lateCommits = 1;
        run(2 * publishTime);
        CPPUNIT_ASSERT_EQUAL(0U, m_store.lateCommits);
        const std::int64_t published = forecast().number;
        CPPUNIT_ASSERT(!forecast().empty());
        m_store.executeLateCommits();
        CPPUNIT_ASSERT_EQUAL(published, forecast().number);
    }

    /** Callers wait two seconds at most for the present counts, of which the takeover takes most.
     */
    void firstCountsAfterATakeoverReplaceThoseOfThePredecessor()
    {
        m_store.put(std::string{store_keys::waiting}, R"({"queue":9})");
        startOwnerOfQueue(milliseconds{0});
    }

private:
    [[nodiscard]] std::string onlyLine(std::string_view event) const
    {
        const auto lines = m_log->linesOf(event);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        return lines.front();
    }

    static job_record makeJob(const std::string &id)
    {
        job_record job;
        job.id = id;
        job.queue = "queue";
        job.pool = "pool";
        job.acceptedAt = unixNow();
        job.steps.resize(1);
        job.steps.front().taskCount = 1;
        job.steps.front().request = {1000, 512, 0};
        return job;
    }

    /** Stores a job that was accepted 500 s ago and completed at the given Unix time. */
    void putEndedJob(milliseconds endedAt)
    {
        job_record job = makeJob(firstJob);
        job.acceptedAt = unixNow() - milliseconds{500'000};
        m_store.put(store_keys::jobRecord(firstJob), encode(job));
        job_progress progress;
        progress.state = job_state::completed;
        progress.endedAt = endedAt;
        m_store.put(store_keys::jobProgress(firstJob), encode(progress));
    }

    /** Stores the completed jobs of a burst of four seconds that began the given time ago. */
    void putFinishedBurst(const std::string &pool, milliseconds ago)
    {
        constexpr int jobsPerBurst{40};
        const milliseconds begun = unixNow() - ago;
        for (int index = 0; index < jobsPerBurst; ++index) {
            const std::string id = "aaaaaaaaaaaa" + pool + std::to_string(100 + index);
            job_record job = makeJob(id);
            job.pool = pool;
            job.acceptedAt = begun + milliseconds{100} * index;
            job.steps.front().taskCount = 64;
            job.steps.front().estimate = milliseconds{1000};
            m_store.put(store_keys::jobRecord(id), encode(job));
            m_store.put(store_keys::jobProgress(id),
                        encode(job_progress{job_state::completed, {}, {}}));
        }
    }

    /** Starts the owner of four pools of five VMs each, of which the last has had no work yet.
     */
    void startOwnerOfPools()
    {
        desired_state desired;
        for (const char *const name : {"a", "b", "c", "d"})
            desired.config.pools.push_back({name, false, false});
        desired.config.pools.push_back({"standby", false, true});
        m_store.put(store_keys::jobRecord(firstJob), encode(makeShortJob("d")));
        std::vector<executor_registration> executors;
        for (int index = 0; index < 20; ++index) {
            const std::string name = std::to_string(index);
            executor_registration info;
            info.id = "e" + name;
            info.vm = "vm" + name;
            info.address = "127.0.0.1:" + std::to_string(100 + index);
            info.pool = desired.config.pools.at(index / 5).name;
            info.capacity = {64'000, 131'072, 0};
            // Old enough for orders of the previous owner to have taken effect.
            info.startedUnixMs = (unixNow() - milliseconds{20'000}).count();
            m_gateway.startedUnixMs = info.startedUnixMs;
            m_vms.vms.push_back({info.vm, info.pool, vm_state::up, "zone", info.capacity, info.id});
            executors.push_back(std::move(info));
        }
        m_owner->apply(desired);
        startOwner();
        for (const executor_registration &each : executors)
            m_directory.updated(each);
    }

    static job_record makeShortJob(const std::string &pool)
    {
        job_record job = makeJob(firstJob);
        job.pool = pool;
        job.acceptedAt = unixNow() - milliseconds{12'000};
        job.steps.front().estimate = milliseconds{1};
        return job;
    }

    /** Records an executor that does not answer and whose VM the list shows with another one.
     */
    void recordLostExecutor(milliseconds age)
    {
        executor_registration info;
        info.id = "lost";
        info.vm = "vm9";
        info.address = "127.0.0.1:9";
        info.pool = "pool";
        info.startedUnixMs = (unixNow() - age).count();
        m_store.put(store_keys::executor(info.id), encodeRegistration(info));
        m_gateway.silentExecutor = info.id;
        m_vms.vms = {{"vm9", "other", vm_state::up, "zone", {64'000, 131'072, 0}, "next"}};
    }

    /** Starts the owner of a queue in whose pool there is no executor; one job waits. */
    void startOwnerOfQueue(milliseconds afterStart = publishTime)
    {
        desired_state desired;
        queue_entry queue;
        queue.name = "queue";
        queue.pool = "pool";
        desired.config.queues.push_back(queue);
        m_owner->apply(desired);
        putJob(firstJob);
        startOwner();
        run(afterStart);
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"queue":1})"}, waitingCounts());
    }

    void putJob(const std::string &id)
    {
        m_store.put(store_keys::jobRecord(id), encode(makeJob(id)));
    }

    [[nodiscard]] load_forecast forecast() const
    {
        const keyspace_item *const item = m_store.find(std::string{store_keys::forecast});
        return item ? decodeForecast(item->value).value_or(load_forecast{}) : load_forecast{};
    }

    [[nodiscard]] std::string waitingCounts() const
    {
        return m_store.find(std::string{store_keys::waiting})->value;
    }

    [[nodiscard]] std::string lastOwner() const
    {
        return m_store.find(std::string{store_keys::lastOwner})->value;
    }

    void registerExecutorIfStarted()
    {
        if (m_directory.updated)
            registerExecutor();
        run(milliseconds{300});
    }

    /** Starts an owner whose only VM is due for maintenance in a wave, and gives it time to
       order that. */
    void startWave()
    {
        requestWave({"vm0"});
        startFleetOfOneVm();
    }

    /** Starts an owner of one VM without jobs, and waits until it may order maintenance. */
    void startFleetOfOneVm()
    {
        m_store.remove(store_keys::jobRecord(firstJob));
        m_vms.vms = {{"vm0", "pool", vm_state::up, "zone", {8000, 8000, 0}, executorName}};
        startOwner();
        registerExecutor(executorName, "vm0");
        run(milliseconds{3400});
    }

    void requestWave(std::vector<std::string> vms)
    {
        wave_entry wave;
        wave.number = 3;
        wave.vms = std::move(vms);
        wave.deadline = boot_clock::now() + milliseconds{27'000};
        desired_state desired;
        desired.waves = {wave};
        m_owner->apply(desired);
    }

    void registerExecutor(const std::string &id = executorName, const std::string &vm = "",
                          std::int64_t startedUnixMs = 1)
    {
        executor_registration info;
        info.id = id;
        info.vm = vm;
        info.address = "127.0.0.1:1";
        info.pool = "pool";
        info.capacity = {8000, 8000, 0};
        info.startedUnixMs = startedUnixMs;
        m_directory.updated(info);
    }

    void run(milliseconds time)
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    std::optional<captured_log> m_log{};
    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
    fake_gateway m_gateway{m_loop};
    fake_vm_service m_vms{};
    executor_directory::listener m_directory{};
    metrics m_metrics{};
    owner_metrics m_ownerMetrics{m_metrics};
    int m_yields{0};
    int m_losses{0};
    boot_time m_waveDeadline{};
    std::unique_ptr<owner> m_owner{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_test);

} // namespace
