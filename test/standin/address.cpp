#include "address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <stdexcept>

namespace azurelb::standin {

tcp::endpoint parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string_view port = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, portError] = std::from_chars(port.data(), port.data() + port.size(), number);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    if (port.empty() || portError != std::errc{} || error)
        throw std::invalid_argument{"not an IP:PORT address: " + std::string{text}};
    return {ip, number};
}

std::vector<tcp::endpoint> parseAddresses(std::string_view text)
{
    std::vector<tcp::endpoint> addresses;
    while (!text.empty()) {
        const auto comma = text.find(',');
        addresses.push_back(parseAddress(text.substr(0, comma)));
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return addresses;
}

} // namespace azurelb::standin
