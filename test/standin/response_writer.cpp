#include "response_writer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace azurelb::standin {

namespace {

constexpr auto tupled = asio::as_tuple(asio::use_awaitable);

/** Fills in the fields that depend on the request. */
void prepare(response &answer, const request &asked)
{
    answer.version(asked.version());
    answer.keep_alive(asked.keep_alive());
    if (answer.result() == http::status::not_modified)
        answer.body().clear();
    else
        answer.prepare_payload();
}

} // namespace

awaitable<bool> writeResponse(boost::beast::tcp_stream &connection, const request &asked,
                              response answer)
{
    prepare(answer, asked);
    const auto [error, bytes] = co_await http::async_write(connection, answer, tupled);
    co_return !error && asked.keep_alive();
}

awaitable<void> writeTruncatedResponse(boost::beast::tcp_stream &connection, response answer)
{
    constexpr std::size_t missingBytes = 1;
    answer.content_length(answer.body().size() + missingBytes);
    co_await http::async_write(connection, answer, tupled);
}

} // namespace azurelb::standin
