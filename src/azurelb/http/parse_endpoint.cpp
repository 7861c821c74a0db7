#include <azurelb/http/parse_endpoint.hpp>

#include <charconv>
#include <string_view>

namespace azurelb {

namespace {

[[noreturn]] void refuse(const std::string &text)
{
    const auto code = make_error_code(boost::system::errc::invalid_argument);
    throw boost::system::system_error{code, "not an address of the form IP:PORT: " + text};
}

std::string_view withoutBrackets(std::string_view host)
{
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        refuse(text);
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(first, last, port);
    if (failure != std::errc{} || end != last || first == last)
        refuse(text);

    const std::string host{withoutBrackets(std::string_view{text}.substr(0, colon))};
    boost::system::error_code wrong;
    const auto address = boost::asio::ip::make_address(host, wrong);
    if (wrong)
        refuse(text);
    return {address, port};
}

} // namespace azurelb
