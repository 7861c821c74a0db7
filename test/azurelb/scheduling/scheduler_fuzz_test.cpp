#include "scheduler_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <cstdio>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

enum class action {
    submit,
    submit_chain,
    submit_gang,
    submit_long_running,
    cancel,
    take_over,
    replace_owner,
    replace_owner_with_old_configuration,
    crash,
    restart_unnoticed,
    disconnect,
    disconnect_former_owner,
    reconnect,
    lose_answers,
    delay_orders,
    store_down,
    store_up,
    pass_time
};

constexpr int actionCount{static_cast<int>(action::pass_time) + 1};
constexpr unsigned executorCount{4};

std::string jobName(unsigned index)
{
    char name[17];
    std::snprintf(name, sizeof name, "%016x", index);
    return name;
}

std::string executorName(unsigned index)
{
    return "e" + std::to_string(index % executorCount);
}

/** What a sequence of commands is played on. */
struct sequence_options
{
    /** Orders for an incarnation never reach the next one. */
    bool peersIdentified{false};
    /** Difference between the longest and the shortest task, which takes 200 ms. */
    std::size_t durationSpreadMs{1500};
    /** Time after the last command within which all jobs must end. */
    milliseconds settlingTime{40'000};
};

/** Runs a sequence of commands on scheduler_simulation, which checks the invariants. */
class command_sequence
{
public:
    explicit command_sequence(const sequence_options &options)
        : m_options{options}
    {
        m_simulation.setPeersIdentified(options.peersIdentified);
        m_simulation.config.teams.front().limit = {24'000, 0, 0};
        m_simulation.currentScheduler().apply(m_simulation.config);
        m_simulation.setPlan([spreadMs = options.durationSpreadMs](const task_id &task) {
            const auto spread = std::hash<task_id>{}(task) % spreadMs;
            const bool fails = std::hash<task_id>{}(task) % 11 == 0;
            return run_plan{milliseconds{200 + static_cast<int>(spread)},
                            fails ? run_end::failed : run_end::done};
        });
        for (unsigned index = 0; index < executorCount; ++index) {
            m_simulation.addExecutor(executorName(index), "pool", index == 0 ? 0.98 : 1.0);
            m_simulation.executor(executorName(index)).maxLease =
                optionsOfSimulation().maxLeaseTerm;
        }
    }

    void play(action what, unsigned argument)
    {
        switch (what) {
        case action::submit:
            submit(makeJob(jobName(m_jobs), 1 + argument % 6, 2000));
            break;
        case action::submit_chain: {
            job_record job = makeJob(jobName(m_jobs), 1 + argument % 4);
            job.steps.push_back(job.steps.front());
            job.steps.back().after.push_back(0);
            submit(job);
            break;
        }
        case action::submit_gang: {
            job_record job = makeJob(jobName(m_jobs), 2 + argument % 3);
            job.steps.front().gang = true;
            submit(job);
            break;
        }
        case action::submit_long_running: {
            job_record job = makeJob(jobName(m_jobs), 1 + argument % 3);
            job.steps.front().longRunning = true;
            m_longRunningJobs.push_back(job.id);
            submit(job);
            break;
        }
        case action::cancel:
            if (m_jobs > 0)
                m_simulation.cancel(jobName(argument % m_jobs));
            break;
        case action::take_over:
            m_simulation.takeOver();
            break;
        case action::replace_owner:
            m_simulation.replaceOwner();
            break;
        case action::replace_owner_with_old_configuration:
            m_simulation.replaceOwnerWithOldConfiguration(milliseconds{argument % 1500});
            break;
        case action::crash:
            m_simulation.crash(executorName(argument));
            break;
        case action::restart_unnoticed:
            m_simulation.restartUnnoticed(executorName(argument));
            break;
        case action::disconnect:
            m_simulation.setDisconnected(executorName(argument), true);
            break;
        case action::disconnect_former_owner:
            m_simulation.disconnectFormerOwner(executorName(argument));
            m_simulation.disconnectFormerOwner(executorName(argument + 1));
            break;
        case action::reconnect:
            m_simulation.setDisconnected(executorName(argument), false);
            break;
        case action::lose_answers:
            m_simulation.loseAnswers(1 + argument % 3);
            break;
        case action::delay_orders:
            m_simulation.delayOrders(1 + argument % 3, milliseconds{500 + argument % 4000});
            break;
        case action::store_down:
            m_simulation.setStoreDown(true);
            break;
        case action::store_up:
            m_simulation.setStoreDown(false);
            break;
        case action::pass_time:
            break;
        }
        m_simulation.advance(milliseconds{20 + static_cast<int>(argument % 700)});
    }

    /**
     * Ends all faults and gives the jobs time to complete. Long-running jobs are cancelled first,
     * as they may use up the team's limit.
     */
    void settle()
    {
        m_simulation.setStoreDown(false);
        for (const job_id &each : m_longRunningJobs)
            m_simulation.cancel(each);
        for (unsigned index = 0; index < executorCount; ++index)
            m_simulation.setDisconnected(executorName(index), false);
        m_simulation.advance(m_options.settlingTime);
    }

    void check()
    {
        for (const std::string &each : m_simulation.violations())
            RC_FAIL(each);
    }

    void checkSettled()
    {
        for (unsigned index = 0; index < m_jobs; ++index) {
            const job_entry *const job =
                std::as_const(m_simulation.currentScheduler()).jobs().find(jobName(index));
            const bool longRunning = job && job->record.steps.front().longRunning;
            if (!longRunning && !isFinal(m_simulation.stateOf(jobName(index))))
                RC_FAIL("not completed: " + jobName(index));
        }
    }

private:
    void submit(const job_record &job)
    {
        m_simulation.submit(job);
        ++m_jobs;
    }

    /** Lists of ends are short, so that outages of the store fill them. */
    [[nodiscard]] static scheduling_options optionsOfSimulation()
    {
        scheduling_options options;
        options.maxListedEnds = 6;
        options.maxLeaseTerm = milliseconds{10'000};
        return options;
    }

    sequence_options m_options;
    scheduler_simulation m_simulation{optionsOfSimulation()};
    unsigned m_jobs{0};
    std::vector<job_id> m_longRunningJobs{};
};

class scheduler_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scheduler_fuzz_test);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST(invariantsHoldWhereOrdersReachOneIncarnation);
    CPPUNIT_TEST(invariantsHoldForLongTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderFaults() { checkInvariants({}); }

    void invariantsHoldWhereOrdersReachOneIncarnation() { checkInvariants({true}); }

    /** Tasks outlast the leases that an owner assumes. */
    void invariantsHoldForLongTasks()
    {
        constexpr std::size_t spreadMs{10'000};
        constexpr milliseconds settlingTime{120'000};
        checkInvariants({false, spreadMs, settlingTime});
        checkInvariants({true, spreadMs, settlingTime});
    }

private:
    static void checkInvariants(const sequence_options &options)
    {
        const bool held = rc::check("invariants hold", [&options] {
            const auto commands = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
                rc::gen::pair(rc::gen::inRange(0, actionCount), rc::gen::inRange(0U, 100'000U)));
            command_sequence sequence{options};
            for (const auto &[what, argument] : commands) {
                sequence.play(static_cast<action>(what), argument);
                sequence.check();
            }
            sequence.settle();
            sequence.check();
            sequence.checkSettled();
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_fuzz_test);

} // namespace
