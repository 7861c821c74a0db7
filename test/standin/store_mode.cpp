#include "store_mode.hpp"
#include "json.hpp"

#include <algorithm>

namespace azurelb::standin {

namespace {

using namespace wire::etcd;

constexpr std::size_t maxRequestBytes{1536U << 10U};
constexpr int invalidArgument{3};

response refusalResponse(const kv_refusal &refusal)
{
    constexpr int notFound = 5;
    const std::string text{refusal.message};
    const auto status =
        refusal.code == notFound ? http::status::not_found : http::status::bad_request;
    return makeResponse(status,
                        R"({"error":")" + text + R"(","message":")" + text + R"(","code":)"
                            + std::to_string(refusal.code) + "}");
}

response invalidMessageResponse()
{
    return refusalResponse({invalidArgument, "invalid message"});
}

/** Serializes with the json_name of each field, which the lease messages require. */
std::string toGatewayJson(const google::protobuf::Message &message)
{
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

bool isRead(const txn_request &req)
{
    const auto reads = [](const request_op &each) {
        return each.has_request_range();
    };
    return req.compare().empty() && std::all_of(req.success().begin(), req.success().end(), reads);
}

} // namespace

const std::array<store_mode::route, 7> store_mode::routes{
    {{"/v3/kv/range", &store_mode::range},
     {"/v3/kv/put", &store_mode::put},
     {"/v3/kv/deleterange", &store_mode::deleteRange},
     {"/v3/kv/txn", &store_mode::txn},
     {"/v3/lease/grant", &store_mode::grant},
     {"/v3/lease/revoke", &store_mode::revoke},
     {"/v3/lease/keepalive", &store_mode::keepAlive}}};

void store_mode::answer(const request &req, answer_handler done)
{
    m_state.expireLeases(std::chrono::steady_clock::now());
    const auto found = std::find_if(routes.begin(), routes.end(), [&req](const route &each) {
        return req.target() == each.path;
    });
    if (found == routes.end())
        done(makeResponse(http::status::not_found, R"({"error":"Not Found","code":5})"));
    else if (req.body().size() > maxRequestBytes)
        done(refusalResponse({invalidArgument, "etcdserver: request is too large"}));
    else
        done((this->*found->run)(req));
}

void store_mode::faultChanged()
{
    if (!fault().old_data())
        m_staleState.reset();
    else if (!m_staleState)
        m_staleState = m_state;
}

kv_state &store_mode::stateFor(const txn_request &req)
{
    return m_staleState && isRead(req) ? *m_staleState : m_state;
}

template <typename Selector>
response store_mode::runSingle(const txn_request &req, Selector select)
{
    txn_response outcome;
    if (const auto refusal = stateFor(req).commit(req, outcome))
        return refusalResponse(*refusal);
    return makeResponse(http::status::ok, toJson((outcome.mutable_responses(0)->*select)()));
}

response store_mode::range(const request &req)
{
    txn_request wrapped;
    if (!fromJson(req.body(), *wrapped.add_success()->mutable_request_range()))
        return invalidMessageResponse();
    return runSingle(wrapped, &response_op::response_range);
}

response store_mode::put(const request &req)
{
    txn_request wrapped;
    if (!fromJson(req.body(), *wrapped.add_success()->mutable_request_put()))
        return invalidMessageResponse();
    return runSingle(wrapped, &response_op::response_put);
}

response store_mode::deleteRange(const request &req)
{
    txn_request wrapped;
    if (!fromJson(req.body(), *wrapped.add_success()->mutable_request_delete_range()))
        return invalidMessageResponse();
    return runSingle(wrapped, &response_op::response_delete_range);
}

response store_mode::txn(const request &req)
{
    txn_request wanted;
    if (!fromJson(req.body(), wanted))
        return invalidMessageResponse();
    txn_response outcome;
    if (const auto refusal = stateFor(wanted).commit(wanted, outcome))
        return refusalResponse(*refusal);
    return makeResponse(http::status::ok, toJson(outcome));
}

response store_mode::grant(const request &req)
{
    lease_grant_request wanted;
    if (!fromJson(req.body(), wanted))
        return invalidMessageResponse();
    lease_grant_response granted;
    if (const auto refusal = m_state.grant(wanted, std::chrono::steady_clock::now(), granted))
        return refusalResponse(*refusal);
    return makeResponse(http::status::ok, toGatewayJson(granted));
}

response store_mode::revoke(const request &req)
{
    lease_revoke_request wanted;
    if (!fromJson(req.body(), wanted))
        return invalidMessageResponse();
    if (const auto refusal = m_state.revoke(wanted.id()))
        return refusalResponse(*refusal);
    return makeResponse(http::status::ok, "{}");
}

response store_mode::keepAlive(const request &req)
{
    lease_keep_alive_request wanted;
    if (!fromJson(req.body(), wanted))
        return invalidMessageResponse();
    const auto kept = m_state.keepAlive(wanted.id(), std::chrono::steady_clock::now());
    return makeResponse(http::status::ok, R"({"result":)" + toGatewayJson(kept) + "}");
}

} // namespace azurelb::standin
