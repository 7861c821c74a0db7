#include "child_process.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace azurelb::test {

namespace {

std::vector<char *> pointers(const child_process::string_list &texts)
{
    std::vector<char *> made;
    for (const std::string &text : texts)
        made.push_back(const_cast<char *>(text.c_str()));
    made.push_back(nullptr);
    return made;
}

} // namespace

child_process::child_process(const std::string &program, const string_list &arguments,
                             const string_list &environment)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error{"cannot create a pipe"};
    spawn(program, arguments, environment, ends[1]);
    ::close(ends[1]);
    m_reader = std::thread{[this, input = ends[0]] {
        readLines(input);
    }};
}

child_process::~child_process()
{
    if (!m_ended) {
        signal(SIGKILL);
        (void)::waitpid(m_id, nullptr, 0);
    }
    m_reader.join();
}

std::string child_process::waitForLine(std::string_view text, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock{m_mutex};
    while (true) {
        for (; m_next < m_lines.size(); ++m_next) {
            if (m_lines[m_next].find(text) != std::string::npos)
                return m_lines[m_next++];
        }
        const bool over =
            m_outputEnded || m_changed.wait_until(lock, deadline) == std::cv_status::timeout;
        if (over && m_next == m_lines.size())
            throw std::runtime_error{"expected line not found: " + std::string{text}};
    }
}

child_process::string_list child_process::lines()
{
    const std::lock_guard lock{m_mutex};
    return m_lines;
}

void child_process::signal(int number) const
{
    if (!m_ended)
        (void)::kill(m_id, number);
}

bool child_process::hasEnded()
{
    int state = 0;
    if (!m_ended && ::waitpid(m_id, &state, WNOHANG) == m_id) {
        m_ended = true;
        m_exitCode = WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
    }
    return m_ended;
}

int child_process::waitForExit(std::chrono::seconds limit)
{
    constexpr std::chrono::milliseconds pollInterval{5};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!hasEnded()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error{"the program did not exit in time"};
        std::this_thread::sleep_for(pollInterval);
    }
    return m_exitCode;
}

void child_process::spawn(const std::string &program, const string_list &arguments,
                          const string_list &environment, int output)
{
    string_list words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    string_list settings = environment;
    for (char **each = environ; *each; ++each)
        settings.emplace_back(*each);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    // Keeps the test's sockets from being inherited by the program.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = ::posix_spawn(&m_id, program.c_str(), &actions, nullptr,
                                      pointers(words).data(), pointers(settings).data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error{"cannot start " + program};
}

void child_process::readLines(int input)
{
    FILE *const lines = ::fdopen(input, "r");
    char *line = nullptr;
    std::size_t size = 0;
    for (ssize_t length = 0; (length = ::getline(&line, &size, lines)) > 0;) {
        const std::lock_guard lock{m_mutex};
        m_lines.emplace_back(line, static_cast<std::size_t>(length - 1));
        m_changed.notify_all();
    }
    std::free(line);
    std::fclose(lines);
    const std::lock_guard lock{m_mutex};
    m_outputEnded = true;
    m_changed.notify_all();
}

std::string builtProgram(std::string_view name)
{
    const char *const folder = std::getenv("AZURELB_BUILD");
    if (!folder)
        throw std::runtime_error{"AZURELB_BUILD is not set"};
    return std::string{folder} + '/' + std::string{name};
}

} // namespace azurelb::test
