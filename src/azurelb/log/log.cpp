#include <azurelb/log/event_entry.hpp>
#include <azurelb/log/line_buffer.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/log/log_rate_limiter.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <boost/make_shared.hpp>

#include <cstdio>
#include <string>
#include <vector>

#include <unistd.h>

namespace azurelb {

namespace {

using logger = boost::log::sources::severity_logger<severity>;

logger &processLogger()
{
    static logger instance;
    return instance;
}

/** Limit for each event. It is several times a daemon's peak rate of decisions, and writing that
    many lines takes less than 1 % of a core. */
constexpr std::uint32_t maxLinesPerSecond{400};

log_rate_limiter &rateLimiter()
{
    static log_rate_limiter instance{maxLinesPerSecond};
    return instance;
}

line_buffer &processBuffer()
{
    static line_buffer instance{STDOUT_FILENO};
    return instance;
}

void countDropped(const std::vector<event> &events)
{
    for (const event each : events)
        rateLimiter().countDropped(each);
}

/** Event of the line that is being written; Boost.Log passes on only its text. */
const event_entry *&currentEntry()
{
    static const event_entry *entry = nullptr;
    return entry;
}

/** Writes lines to standard output without blocking. */
class output_backend final : public boost::log::sinks::basic_formatted_sink_backend<
                                 char, boost::log::sinks::synchronized_feeding>
{
public:
    void consume(const boost::log::record_view &, const std::string &line)
    {
        countDropped(processBuffer().add(currentEntry()->id, currentEntry()->level, line));
    }
};

severity &minSeverity()
{
    static severity level{severity::debug};
    return level;
}

std::string &vmName()
{
    static std::string name;
    return name;
}

void appendEscaped(std::string &line, char character)
{
    constexpr char firstPrintable = 0x20;
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (static_cast<unsigned char>(character) < firstPrintable) {
        char code[8];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned>(character));
        line += code;
    } else {
        line += character;
    }
}

void appendField(std::string &line, std::string_view name, std::string_view value)
{
    line += ' ';
    line += name;
    line += "=\"";
    for (const char character : value)
        appendEscaped(line, character);
    line += '"';
}

std::string makeLine(const event_entry &entry, std::initializer_list<field> fields)
{
    std::string line{toString(entry.level)};
    line += ' ';
    line += std::to_string(static_cast<int>(entry.id));
    line += ' ';
    line += entry.name;
    appendField(line, "vm", vmName());
    for (const field &each : fields)
        appendField(line, each.name, each.value);
    return line;
}

} // namespace

void openLog(const log_options &options)
{
    namespace expressions = boost::log::expressions;
    vmName() = options.vm;
    minSeverity() = options.minSeverity;
    boost::log::add_common_attributes();
    using output_sink = boost::log::sinks::synchronous_sink<output_backend>;
    auto sink = boost::make_shared<output_sink>(boost::make_shared<output_backend>());
    sink->set_formatter(expressions::stream
                        << expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << ' ' << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(expressions::attr<severity>("Severity")
                                        >= options.minSeverity);
}

void logEvent(event id, std::initializer_list<field> fields)
{
    const event_entry &entry = catalogueEntry(id);
    logger &sink = processLogger();
    boost::log::record record = sink.open_record(boost::log::keywords::severity = entry.level);
    if (!record)
        return;
    const log_rate_limiter::decision admission =
        rateLimiter().admit(id, std::chrono::steady_clock::now());
    if (!admission.write)
        return;
    std::string line = makeLine(entry, fields);
    if (admission.droppedLines > 0)
        appendField(line, "left_out", std::to_string(admission.droppedLines));
    boost::log::record_ostream stream{record};
    stream << line;
    stream.flush();
    currentEntry() = &entry;
    sink.push_record(std::move(record));
}

bool mayLog(event id)
{
    if (catalogueEntry(id).level < minSeverity())
        return false;
    const bool hasRoom = rateLimiter().hasRoom(id, std::chrono::steady_clock::now());
    if (!hasRoom)
        rateLimiter().countDropped(id);
    return hasRoom;
}

void setLogBuffering(bool on)
{
    processBuffer().setBuffering(on);
    if (!on)
        flushLog();
}

void flushLog()
{
    countDropped(processBuffer().flush());
}

} // namespace azurelb
