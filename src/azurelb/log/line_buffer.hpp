#pragma once

#include <azurelb/log/fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

/**
 * Collects log lines and writes them to a descriptor, several at once. At most PIPE_BUF bytes are
 * written at a time, so that a write takes all lines or none and never blocks.
 */
class line_buffer
{
public:
    explicit line_buffer(int descriptor) noexcept
        : m_descriptor{descriptor}
    { }

    /** Sets whether lines below severity::warning are collected. */
    void setBuffering(bool on);

    /** Adds a line. Returns the events of the lines that could not be written. */
    [[nodiscard]] std::vector<event> add(event id, severity level, std::string_view line);

    /** Writes the collected lines. Returns the events of the lines that could not be written. */
    [[nodiscard]] std::vector<event> flush();

private:
    int m_descriptor;
    std::string m_text{};
    std::vector<event> m_events{};
    bool m_buffering{false};
};

} // namespace azurelb
