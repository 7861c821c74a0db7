#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace azurelb::test {

/** Upper limit of a wait in a test; nothing rests on how fast the machine is. */
inline constexpr std::chrono::seconds defaultWaitLimit{60};

/** A program that a test has started. Its standard output and error are read as lines. */
class child_process
{
public:
    using string_list = std::vector<std::string>;

    /** Starts the program with these settings ("NAME=value") besides the test's own environment. */
    child_process(const std::string &program, const string_list &arguments,
                  const string_list &environment = {});
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /** Kills the program if it still runs. */
    ~child_process();

    [[nodiscard]] pid_t id() const noexcept { return m_id; }

    /**
     * Waits for the next line that holds the text, and returns it; lines before it are passed
     * over. Throws std::runtime_error if the program ends or the time runs out without it.
     */
    std::string waitForLine(std::string_view text, std::chrono::seconds limit = defaultWaitLimit);

    /** Everything that the program has written so far. */
    [[nodiscard]] string_list lines();

    void signal(int number) const;

    /** Whether the program has ended. Never waits. */
    [[nodiscard]] bool hasEnded();

    /** Waits for the end; the exit code, or minus the number of the signal that ended it. */
    int waitForExit(std::chrono::seconds limit = defaultWaitLimit);

private:
    void spawn(const std::string &program, const string_list &arguments,
               const string_list &environment, int output);
    void readLines(int input);

    pid_t m_id{-1};
    bool m_ended{false};
    int m_exitCode{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    string_list m_lines;
    std::size_t m_next{0};
    bool m_outputEnded{false};
    std::thread m_reader;
};

/** Path of a program of the build under test, from AZURELB_BUILD. */
[[nodiscard]] std::string builtProgram(std::string_view name);

} // namespace azurelb::test
