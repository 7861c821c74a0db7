#include <azurelb/scheduling/queue_order.hpp>
#include <azurelb/scheduling/waiting_order.hpp>

#include <array>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

using sort_key_function = milliseconds (*)(const waiting_facts &);

milliseconds sortKeyByAge(const waiting_facts &facts)
{
    return -facts.due.time_since_epoch();
}

milliseconds sortKeyBySlack(const waiting_facts &facts)
{
    return facts.slack;
}

/** Sort keys of jobs that have not started, indexed by queue_order. */
constexpr std::array<sort_key_function, 2> sortKeyFunctions{&sortKeyByAge, &sortKeyBySlack};

} // namespace

waiting_rank rankOf(const waiting_facts &facts, queue_order order)
{
    const bool late = !facts.longRunning && facts.slack.count() < 0;
    const bool newAndInTime = !facts.started && !late;
    return {late ? facts.laterDue : 0,
            late,
            !facts.longRunning,
            facts.priority,
            !facts.started,
            newAndInTime ? sortKeyFunctions[static_cast<std::size_t>(order)](facts) : facts.slack};
}

} // namespace azurelb
