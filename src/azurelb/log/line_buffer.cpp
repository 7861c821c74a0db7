#include <azurelb/log/event.hpp>
#include <azurelb/log/line_buffer.hpp>
#include <azurelb/log/line_writer.hpp>
#include <azurelb/log/severity.hpp>

#include <climits>
#include <iterator>
#include <utility>

namespace azurelb {

void line_buffer::setBuffering(bool on)
{
    m_buffering = on;
}

std::vector<event> line_buffer::add(event id, severity level, std::string_view line)
{
    std::vector<event> dropped;
    if (m_text.size() + line.size() + 1 >= PIPE_BUF)
        dropped = flush();
    if (!m_events.empty())
        m_text += '\n';
    m_text += line;
    m_events.push_back(id);
    if (!m_buffering || level >= severity::warning) {
        const std::vector<event> more = flush();
        dropped.insert(dropped.end(), more.begin(), more.end());
    }
    return dropped;
}

std::vector<event> line_buffer::flush()
{
    const bool written = m_events.empty() || writeLine(m_descriptor, m_text);
    m_text.clear();
    std::vector<event> events = std::exchange(m_events, {});
    return written ? std::vector<event>{} : events;
}

} // namespace azurelb
