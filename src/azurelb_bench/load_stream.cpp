#include <azurelb_bench/load_stream.hpp>

#include <boost/beast/http/field.hpp>

namespace azurelb::bench {

namespace http = boost::beast::http;

load_stream::load_stream(boost::asio::io_context &loop, stream_options options)
    : m_loop{loop}
    , m_options{std::move(options)}
{ }

void load_stream::issueDueCalls(clock::time_point start, clock::time_point now)
{
    if (m_start == clock::time_point{})
        m_lastIssue = start;
    m_start = start;
    const std::chrono::duration<double> step = now - m_lastIssue;
    const double rate = m_options.rate(now - start);
    m_callsToIssue += rate * step.count();
    const double dueCalls = m_callsToIssue;
    for (double index = 1; m_callsToIssue >= 1; m_callsToIssue -= 1, index += 1) {
        const auto offset = step * (index / dueCalls);
        m_pendingDueTimes.push_back(m_lastIssue
                                    + std::chrono::duration_cast<clock::duration>(offset));
        ++m_result.offered;
    }
    m_lastIssue = now;
    send();
}

void load_stream::send()
{
    while (!m_pendingDueTimes.empty()) {
        if (m_idleClients.empty()) {
            if (m_clients.size() >= m_options.maxConnections)
                return;
            m_idleClients.push_back(m_clients.size());
            m_clients.push_back(std::make_unique<http_client>(m_loop, m_options.target));
        }
        const std::size_t client = m_idleClients.back();
        m_idleClients.pop_back();
        const auto due = m_pendingDueTimes.front();
        m_pendingDueTimes.pop_front();
        ++m_inFlight;
        // A server answers by the call's deadline, so that this only ends calls without response.
        constexpr std::chrono::seconds grace{5};
        const std::chrono::milliseconds longest{m_options.timeout + grace};
        m_clients[client]->call(
            makeRequest(), {longest, longest},
            [this, client, due](const http_outcome &outcome) { finish(client, due, outcome); });
    }
}

void load_stream::finish(std::size_t client, clock::time_point due, const http_outcome &outcome)
{
    const auto now = clock::now();
    --m_inFlight;
    m_idleClients.push_back(client);
    if (outcome.progress != http_progress::answered) {
        ++m_result.refused["connection"];
    } else if (outcome.response.result() != http::status::ok) {
        ++m_result.refused[std::to_string(outcome.response.result_int())];
    } else {
        constexpr std::chrono::milliseconds bucketWidth{100};
        const auto index = static_cast<std::size_t>((now - m_start) / bucketWidth);
        if (m_result.completedPer100Ms.size() <= index)
            m_result.completedPer100Ms.resize(index + 1);
        ++m_result.completedPer100Ms[index];
        ++m_result.completed;
        m_result.latency.add(std::chrono::duration_cast<std::chrono::microseconds>(now - due));
    }
    send();
}

http_request load_stream::makeRequest() const
{
    constexpr unsigned http11 = 11;
    http_request request{http::verb::post, m_options.path, http11};
    request.set(http::field::host, "azurelb");
    request.set(http::field::content_type, "application/json");
    request.set("X-Run-Ms", std::to_string(m_options.runTime.count()));
    request.set("Azurelb-Timeout-Ms", std::to_string(m_options.timeout.count()));
    if (!m_options.key.empty())
        request.set(http::field::authorization, "Bearer " + m_options.key);
    request.body() = std::string(m_options.bodyBytes, ' ');
    request.prepare_payload();
    return request;
}

} // namespace azurelb::bench
