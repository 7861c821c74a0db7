#include "control_mode.hpp"

#include <charconv>

namespace azurelb::standin {

void control_mode::answer(const request &, answer_handler done)
{
    done(makeResponse(http::status::not_found, "{}"));
}

response control_mode::control(std::string_view path, const request &req)
{
    const auto slash = path.find('/');
    const std::string_view own = path.substr(0, slash);
    const std::string_view which = slash == std::string_view::npos ? "0" : path.substr(slash + 1);
    if (which == "all") {
        response last = makeResponse(http::status::ok, "{}");
        for (mode *each : m_controlled)
            last = each->control(own, req);
        return last;
    }
    std::size_t index = 0;
    const auto [end, error] = std::from_chars(which.data(), which.data() + which.size(), index);
    if (error != std::errc{} || index >= m_controlled.size())
        return makeResponse(http::status::not_found, R"({"error":"unknown address"})");
    return m_controlled[index]->control(own, req);
}

} // namespace azurelb::standin
