#include <support/captured_log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>

namespace azurelb::test {

namespace {

class collecting_backend final : public boost::log::sinks::basic_formatted_sink_backend<
                                     char, boost::log::sinks::synchronized_feeding>
{
public:
    void consume(const boost::log::record_view &, const std::string &line)
    {
        lines.push_back(line);
    }

    std::vector<std::string> lines{};
};

using collecting_sink = boost::log::sinks::synchronous_sink<collecting_backend>;

} // namespace

struct captured_log::sink
{
    boost::shared_ptr<collecting_backend> backend{boost::make_shared<collecting_backend>()};
    boost::shared_ptr<collecting_sink> frontend{boost::make_shared<collecting_sink>(backend)};
};

captured_log::captured_log()
    : m_sink{std::make_unique<sink>()}
{
    m_sink->frontend->set_formatter(boost::log::expressions::stream
                                    << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(m_sink->frontend);
}

captured_log::~captured_log()
{
    boost::log::core::get()->remove_sink(m_sink->frontend);
}

std::vector<std::string> captured_log::linesOf(std::string_view event) const
{
    const std::string wanted = ' ' + std::string{event} + ' ';
    std::vector<std::string> found;
    for (const std::string &each : m_sink->backend->lines) {
        if (each.find(wanted) != std::string::npos)
            found.push_back(each);
    }
    return found;
}

std::size_t captured_log::positionOf(const std::string &line) const
{
    const auto &lines = m_sink->backend->lines;
    return static_cast<std::size_t>(std::find(lines.begin(), lines.end(), line) - lines.begin());
}

std::string fieldOf(const std::string &line, std::string_view name)
{
    const std::string begin = ' ' + std::string{name} + "=\"";
    const std::size_t found = line.find(begin);
    if (found == std::string::npos)
        return {};
    const std::size_t first = found + begin.size();
    return line.substr(first, line.find('"', first) - first);
}

} // namespace azurelb::test
