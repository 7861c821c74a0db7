#include <azurelb_bench/process_usage.hpp>

#include <fstream>
#include <limits>
#include <sstream>
#include <string>

#include <unistd.h>

namespace azurelb::bench {

namespace {

// Fields of /proc/PID/stat (proc(5)) between the process name and utime: state to cmajflt.
constexpr int fieldsBeforeCpuTimes = 11;

std::chrono::milliseconds processorTime(const std::string &folder)
{
    std::ifstream file{folder + "/stat"};
    std::string line;
    std::getline(file, line);
    const auto nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos)
        return {};
    std::istringstream fields{line.substr(nameEnd + 1)};
    std::string skipped;
    for (int index = 0; index < fieldsBeforeCpuTimes; ++index)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    constexpr std::int64_t msPerSecond = 1000;
    return std::chrono::milliseconds{(user + system) * msPerSecond / sysconf(_SC_CLK_TCK)};
}

} // namespace

process_usage readProcessUsage(int pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    process_usage usage;
    usage.processorTime = processorTime(folder);
    std::ifstream file{folder + "/status"};
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    std::uint64_t kilobytes = 0;
    for (std::string word; file >> word;) {
        if (word == "VmRSS:" && file >> kilobytes)
            usage.residentBytes = kilobytes * bytesPerKilobyte;
        if (word == "Threads:")
            file >> usage.threads;
    }
    return usage;
}

} // namespace azurelb::bench
