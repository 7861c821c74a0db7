#include "store_mode.hpp"
#include "json.hpp"

#include <algorithm>

namespace azurelb::standin {

namespace {

using namespace wire::etcd;

constexpr std::size_t maxRequestBytes{1536U << 10U};
constexpr int invalidArgument{3};

response refuse(const kv_refusal &refusal)
{
    constexpr int notFound = 5;
    const std::string text{refusal.message};
    const auto status =
        refusal.code == notFound ? http::status::not_found : http::status::bad_request;
    return makeResponse(status,
                        R"({"error":")" + text + R"(","message":")" + text + R"(","code":)"
                            + std::to_string(refusal.code) + "}");
}

response refuseMessage()
{
    return refuse({invalidArgument, "invalid message"});
}

/** As JSON under the names that the schema gives for it, which the lease messages need. */
std::string toGatewayJson(const google::protobuf::Message &message)
{
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

bool isRead(const txn_request &asked)
{
    const auto reads = [](const request_op &each) {
        return each.has_request_range();
    };
    return asked.compare().empty()
        && std::all_of(asked.success().begin(), asked.success().end(), reads);
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

void store_mode::answer(const request &asked, answer_handler done)
{
    m_state.expire(std::chrono::steady_clock::now());
    const auto found = std::find_if(routes.begin(), routes.end(), [&asked](const route &each) {
        return asked.target() == each.path;
    });
    if (found == routes.end())
        done(makeResponse(http::status::not_found, R"({"error":"Not Found","code":5})"));
    else if (asked.body().size() > maxRequestBytes)
        done(refuse({invalidArgument, "etcdserver: request is too large"}));
    else
        done((this->*found->run)(asked));
}

void store_mode::faultChanged()
{
    if (!fault().old_data())
        m_old.reset();
    else if (!m_old)
        m_old = m_state;
}

kv_state &store_mode::stateFor(const txn_request &asked)
{
    return m_old && isRead(asked) ? *m_old : m_state;
}

template <typename Take>
response store_mode::single(const txn_request &asked, Take take)
{
    txn_response outcome;
    if (const auto refusal = stateFor(asked).commit(asked, outcome))
        return refuse(*refusal);
    return makeResponse(http::status::ok, toJson((outcome.mutable_responses(0)->*take)()));
}

response store_mode::range(const request &asked)
{
    txn_request wrapped;
    if (!fromJson(asked.body(), *wrapped.add_success()->mutable_request_range()))
        return refuseMessage();
    return single(wrapped, &response_op::response_range);
}

response store_mode::put(const request &asked)
{
    txn_request wrapped;
    if (!fromJson(asked.body(), *wrapped.add_success()->mutable_request_put()))
        return refuseMessage();
    return single(wrapped, &response_op::response_put);
}

response store_mode::deleteRange(const request &asked)
{
    txn_request wrapped;
    if (!fromJson(asked.body(), *wrapped.add_success()->mutable_request_delete_range()))
        return refuseMessage();
    return single(wrapped, &response_op::response_delete_range);
}

response store_mode::txn(const request &asked)
{
    txn_request wanted;
    if (!fromJson(asked.body(), wanted))
        return refuseMessage();
    txn_response outcome;
    if (const auto refusal = stateFor(wanted).commit(wanted, outcome))
        return refuse(*refusal);
    return makeResponse(http::status::ok, toJson(outcome));
}

response store_mode::grant(const request &asked)
{
    lease_grant_request wanted;
    if (!fromJson(asked.body(), wanted))
        return refuseMessage();
    lease_grant_response granted;
    if (const auto refusal = m_state.grant(wanted, std::chrono::steady_clock::now(), granted))
        return refuse(*refusal);
    return makeResponse(http::status::ok, toGatewayJson(granted));
}

response store_mode::revoke(const request &asked)
{
    lease_revoke_request wanted;
    if (!fromJson(asked.body(), wanted))
        return refuseMessage();
    if (const auto refusal = m_state.revoke(wanted.id()))
        return refuse(*refusal);
    return makeResponse(http::status::ok, "{}");
}

response store_mode::keepAlive(const request &asked)
{
    lease_keep_alive_request wanted;
    if (!fromJson(asked.body(), wanted))
        return refuseMessage();
    const auto kept = m_state.keepAlive(wanted.id(), std::chrono::steady_clock::now());
    return makeResponse(http::status::ok, R"({"result":)" + toGatewayJson(kept) + "}");
}

} // namespace azurelb::standin
