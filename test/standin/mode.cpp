#include "mode.hpp"
#include "json.hpp"

namespace azurelb::standin {

response mode::control(std::string_view path, const request &req)
{
    if (path == "fault" && req.method() == http::verb::post)
        return setFault(req);
    if (path == "fault")
        return makeResponse(http::status::ok, toJson(m_fault));
    if (path == "status")
        return makeResponse(http::status::ok, toJson(m_status));
    return makeResponse(http::status::not_found, R"({"error":"unknown path"})");
}

response mode::setFault(const request &req)
{
    wire::standin::fault wanted;
    if (!fromJson(req.body(), wanted))
        return makeResponse(http::status::bad_request, R"({"error":"invalid fault message"})");
    m_fault = wanted;
    faultChanged();
    if (m_changed)
        m_changed();
    return makeResponse(http::status::ok, toJson(wanted));
}

} // namespace azurelb::standin
