#include <azurelb/http/endpoint.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/platform/polling_vm_list.hpp>

#include <google/protobuf/util/json_util.h>

#include <utility>

namespace azurelb {

namespace {

namespace http = boost::beast::http;

constexpr unsigned httpVersion{11};

/** Parses the list in the body of a response; null if it is malformed. */
std::shared_ptr<wire::vm_list> decodeList(const std::string &body)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    auto list = std::make_shared<wire::vm_list>();
    if (!google::protobuf::util::JsonStringToMessage(body, list.get(), options).ok())
        return nullptr;
    return list;
}

} // namespace

polling_vm_list::polling_vm_list(boost::asio::io_context &loop, const platform_options &options)
    : m_options{options}
    , m_client{loop, options.endpoint}
    , m_timer{loop}
{ }

void polling_vm_list::start(kernel &)
{
    start();
}

void polling_vm_list::start()
{
    poll();
}

void polling_vm_list::stop() noexcept
{
    m_timer.cancel();
    m_client.close();
}

void polling_vm_list::subscribe(std::function<void()> changed)
{
    m_subscribers.push_back(std::move(changed));
}

void polling_vm_list::poll()
{
    http_request request{http::verb::get, "/v1/vms", httpVersion};
    request.set(http::field::host, toString(m_options.endpoint));
    if (!m_etag.empty())
        request.set(http::field::if_none_match, m_etag);
    m_pollSentAt = std::chrono::steady_clock::now();
    m_client.call(std::move(request), {m_options.timeout, m_options.timeout},
                  [this](http_outcome &&outcome) { handleOutcome(outcome); });
}

void polling_vm_list::handleOutcome(const http_outcome &outcome)
{
    // Comes first, so that a subscriber can stop the service and thereby the next poll.
    scheduleNextPoll();
    const bool answered = outcome.progress == http_progress::answered;
    const http::status status = answered ? outcome.response.result() : http::status::unknown;
    const bool succeeded = status == http::status::ok || status == http::status::not_modified;
    setReachable(succeeded);
    if (!succeeded)
        return;
    ++m_answeredPolls;
    m_listRequestedAt = m_pollSentAt;
    if (status == http::status::ok)
        applyResponse(outcome.response);
}

void polling_vm_list::applyResponse(const http_response &response)
{
    list_ptr list = decodeList(response.body());
    if (!list) {
        logEvent(event::vm_list_malformed, {{"endpoint", toString(m_options.endpoint)}});
        return;
    }
    ++m_listsRead;
    m_etag = response[http::field::etag];
    m_list = std::move(list);
    for (const auto &changed : m_subscribers)
        changed();
}

void polling_vm_list::setReachable(bool reachable)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    logEvent(reachable ? event::vm_list_reachable : event::vm_list_unreachable,
             {{"endpoint", toString(m_options.endpoint)}});
}

void polling_vm_list::scheduleNextPoll()
{
    m_timer.expires_after(m_options.pollInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            poll();
    });
}

} // namespace azurelb
