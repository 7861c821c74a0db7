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

/** Upper limit of a wait in a test; no result depends on the speed of the machine. */
inline constexpr std::chrono::seconds defaultWaitLimit{60};

/** A program started by a test, whose standard output and error are collected as lines. */
class child_process
{
public:
    using string_list = std::vector<std::string>;

    /** Starts the program; environment ("NAME=value") is added to the environment of the test. */
    child_process(const std::string &program, const string_list &arguments,
                  const string_list &environment = {});
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /** Kills the program if it is still running. */
    ~child_process();

    [[nodiscard]] pid_t id() const noexcept { return m_id; }

    /**
     * Waits for the next line that contains the text and returns it, skipping other lines. Throws
     * std::runtime_error if the program ends or the limit passes first.
     */
    std::string waitForLine(std::string_view text, std::chrono::seconds limit = defaultWaitLimit);

    /** All lines written so far. */
    [[nodiscard]] string_list lines();

    void signal(int number) const;

    /** Returns whether the program has exited, without blocking. */
    [[nodiscard]] bool hasEnded();

    /** Waits for the exit and returns the exit code, or the negated number of the ending signal. */
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

/** Returns the path of a program in the build folder AZURELB_BUILD. */
[[nodiscard]] std::string builtProgram(std::string_view name);

} // namespace azurelb::test
