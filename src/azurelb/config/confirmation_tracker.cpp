#include <azurelb/config/confirmation_tracker.hpp>

#include <algorithm>
#include <functional>
#include <limits>

namespace azurelb {

namespace {

/**
 * Time for which the last report of a process still affects the vote of its VM, next to the reports
 * of other processes with the same VM name.
 */
constexpr std::chrono::seconds reportRetention{5};

constexpr document_revisions highestRevisions{revision{std::numeric_limits<std::int64_t>::max()},
                                              revision{std::numeric_limits<std::int64_t>::max()}};

} // namespace

confirmation_tracker::confirmation_tracker(vm_id self, const replica_options &options,
                                           time_point startedAt)
    : m_self{std::move(self)}
    , m_options{options}
    , m_startedAt{startedAt}
{ }

void confirmation_tracker::setHeldRevisions(const document_revisions &held, time_point now)
{
    m_held = held;
    for (const auto &[id, report] : m_reports)
        confirmByPeerReport(report);
    confirmByMajority(now);
}

void confirmation_tracker::onStoreRead(time_point sentAt)
{
    confirm(sentAt, true);
}

void confirmation_tracker::onPeerReport(const member &from, const peer_report &report,
                                        time_point now)
{
    if (now - report.writtenAfter > reportRetention)
        return;
    const auto [known, isNew] = m_reports.try_emplace(from, report);
    if (!isNew && known->second.writtenAfter <= report.writtenAfter)
        known->second = report;
    confirmByPeerReport(report);
    confirmByMajority(now);
}

void confirmation_tracker::onLeave(const member &id)
{
    m_reports.erase(id);
}

void confirmation_tracker::advance(time_point now)
{
    std::erase_if(m_reports, [now](const auto &each) {
        return now - each.second.writtenAfter > reportRetention;
    });
    confirmByMajority(now);
}

bool confirmation_tracker::isConfirmed(time_point now) const noexcept
{
    return m_confirmedAt && now - *m_confirmedAt <= m_options.maxConfirmationAge;
}

std::size_t confirmation_tracker::clusterSize() const noexcept
{
    std::size_t largest = std::max<std::size_t>(m_options.expectedMembers, m_knownMembers);
    for (const auto &[id, report] : m_reports)
        largest = std::max(largest, report.knownMembers);
    return largest;
}

std::size_t confirmation_tracker::countHolders(const document_revisions &wanted,
                                               time_point now) const
{
    const std::vector<time_point> holders = voteTimes(highestRevisions, wanted, now);
    return static_cast<std::size_t>(
        std::count_if(holders.begin(), holders.end(), [this, now](time_point writtenAfter) {
            return now - writtenAfter <= m_options.maxReportAge;
        }));
}

std::vector<time_point> confirmation_tracker::voteTimes(const document_revisions &atMost,
                                                        const document_revisions &atLeast,
                                                        time_point now) const
{
    const auto agrees = [&](const peer_report &report) {
        return report.caughtUp && atMost.covers(report.held) && report.held.covers(atLeast);
    };
    std::vector<time_point> times;
    if (m_caughtUp && atMost.covers(m_held) && m_held.covers(atLeast))
        times.push_back(now);
    // Processes with the same VM name share one vote, which counts only if they agree.
    for (auto first = m_reports.begin(); first != m_reports.end();) {
        const vm_id &vm = first->first.vm;
        bool agreed = vm != m_self;
        time_point oldest = time_point::max();
        for (; first != m_reports.end() && first->first.vm == vm; ++first) {
            agreed = agreed && agrees(first->second);
            oldest = std::min(oldest, first->second.writtenAfter);
        }
        if (agreed)
            times.push_back(oldest);
    }
    return times;
}

void confirmation_tracker::confirm(time_point at, bool byStore)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
    m_caughtUp = m_caughtUp || byStore || at >= m_startedAt + m_options.minCatchUpTime;
}

void confirmation_tracker::confirmByPeerReport(const peer_report &report)
{
    if (report.confirmationAge && m_held.covers(report.held))
        confirm(report.writtenAfter - *report.confirmationAge, false);
}

void confirmation_tracker::confirmByMajority(time_point now)
{
    std::vector<time_point> times = voteTimes(m_held, {}, now);
    const std::size_t needed = majoritySize();
    if (times.size() < needed)
        return;
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), last, times.end(), std::greater{});
    confirm(*last, false);
}

} // namespace azurelb
