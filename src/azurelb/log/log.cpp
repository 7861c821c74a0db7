#include <azurelb/log/event_entry.hpp>
#include <azurelb/log/log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <cstdio>
#include <iostream>

namespace azurelb {

namespace {

using logger = boost::log::sources::severity_logger<severity>;

logger &processLogger()
{
    static logger instance;
    return instance;
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
    boost::log::add_common_attributes();
    boost::log::add_console_log(
        std::cerr, boost::log::keywords::auto_flush = true,
        boost::log::keywords::format = expressions::stream
            << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                       "%Y-%m-%dT%H:%M:%S.%f")
            << ' ' << expressions::smessage);
    boost::log::core::get()->set_filter(expressions::attr<severity>("Severity") >= options.least);
}

void logEvent(event id, std::initializer_list<field> fields)
{
    const event_entry &entry = catalogueEntry(id);
    logger &sink = processLogger();
    boost::log::record record = sink.open_record(boost::log::keywords::severity = entry.level);
    if (!record)
        return;
    boost::log::record_ostream stream{record};
    stream << makeLine(entry, fields);
    stream.flush();
    sink.push_record(std::move(record));
}

} // namespace azurelb
