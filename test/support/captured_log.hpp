#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb::test {

/** Collects the log lines of this process, which are not written to standard output meanwhile. */
class captured_log
{
public:
    captured_log();
    captured_log(const captured_log &) = delete;
    captured_log &operator=(const captured_log &) = delete;
    ~captured_log();

    /** Returns the lines with this number and name, such as "910 run_ordered". */
    [[nodiscard]] std::vector<std::string> linesOf(std::string_view event) const;

    /** Returns how many lines were written before this one. */
    [[nodiscard]] std::size_t positionOf(const std::string &line) const;

private:
    struct sink;
    std::unique_ptr<sink> m_sink;
};

/** Returns the value of a field of a log line; empty if the line doesn't have it. */
[[nodiscard]] std::string fieldOf(const std::string &line, std::string_view name);

} // namespace azurelb::test
