#include <azurelb_bench/load_stream.hpp>

#include <boost/beast/http/field.hpp>

namespace azurelb::bench {

namespace http = boost::beast::http;

load_stream::load_stream(boost::asio::io_context &loop, stream_options options)
    : m_loop{loop}
    , m_options{std::move(options)}
{ }

void load_stream::advance(clock::time_point start, clock::time_point now)
{
    if (m_start == clock::time_point{})
        m_last = start;
    m_start = start;
    const std::chrono::duration<double> step = now - m_last;
    const double rate = m_options.rate(now - start);
    m_credit += rate * step.count();
    const double issued = m_credit;
    for (double index = 1; m_credit >= 1; m_credit -= 1, index += 1) {
        const auto share = step * (index / issued);
        m_due.push_back(m_last + std::chrono::duration_cast<clock::duration>(share));
        ++m_result.offered;
    }
    m_last = now;
    send();
}

void load_stream::send()
{
    while (!m_due.empty()) {
        if (m_free.empty()) {
            if (m_clients.size() >= m_options.connections)
                return;
            m_free.push_back(m_clients.size());
            m_clients.push_back(std::make_unique<http_client>(m_loop, m_options.target));
        }
        const std::size_t client = m_free.back();
        m_free.pop_back();
        const auto due = m_due.front();
        m_due.pop_front();
        ++m_underWay;
        // The server answers by its deadline, so that only a silent one is given up.
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
    --m_underWay;
    m_free.push_back(client);
    if (outcome.progress != http_progress::answered) {
        ++m_result.refused["connection"];
    } else if (outcome.response.result() != http::status::ok) {
        ++m_result.refused[std::to_string(outcome.response.result_int())];
    } else {
        constexpr std::chrono::milliseconds tenth{100};
        const auto index = static_cast<std::size_t>((now - m_start) / tenth);
        if (m_result.completedByTenth.size() <= index)
            m_result.completedByTenth.resize(index + 1);
        ++m_result.completedByTenth[index];
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
    request.set("X-Run-Ms", std::to_string(m_options.run.count()));
    request.set("Azurelb-Timeout-Ms", std::to_string(m_options.timeout.count()));
    if (!m_options.key.empty())
        request.set(http::field::authorization, "Bearer " + m_options.key);
    request.body() = std::string(m_options.bodyBytes, ' ');
    request.prepare_payload();
    return request;
}

} // namespace azurelb::bench
