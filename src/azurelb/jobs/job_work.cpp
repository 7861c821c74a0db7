#include <azurelb/jobs/job_step.hpp>
#include <azurelb/jobs/job_work.hpp>

#include <algorithm>

namespace azurelb {

using std::chrono::milliseconds;

milliseconds criticalPathLength(const std::vector<job_step> &steps)
{
    std::vector<milliseconds> ends;
    milliseconds longest{0};
    for (const job_step &each : steps) {
        milliseconds begin{0};
        for (const std::uint32_t earlier : each.after) {
            if (earlier < ends.size())
                begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + each.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

double taskCoreMs(const job_step &step)
{
    constexpr double millisPerCore{1000};
    return static_cast<double>(step.request.cpu) / millisPerCore
        * static_cast<double>(step.estimate.count());
}

double shortWorkCoreMs(const std::vector<job_step> &steps)
{
    double sum = 0;
    for (const job_step &each : steps)
        sum += each.longRunning ? 0 : static_cast<double>(each.taskCount) * taskCoreMs(each);
    return sum;
}

} // namespace azurelb
