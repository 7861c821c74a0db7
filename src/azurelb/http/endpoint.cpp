#include <azurelb/http/endpoint.hpp>

#include <charconv>
#include <sstream>

namespace azurelb {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(ip, error);
    if (error || address.is_v6() != bracketed)
        return std::nullopt;
    const std::string_view port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const char *const end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, number);
    if (port.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint{address, number};
}

bool isPeerAddress(std::string_view text)
{
    const auto endpoint = parseEndpoint(text);
    return endpoint && endpoint->port() != 0;
}

std::string toString(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace azurelb
