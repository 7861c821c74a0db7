#include "session.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace azurelb::standin {

namespace {

constexpr std::uint64_t maxBodyBytes{64U << 20U};

/** Decrements a counted fault; returns false if its count was 0. */
[[nodiscard]] bool consumeCount(std::uint32_t count, wire::standin::fault &fault,
                                void (wire::standin::fault::*set)(std::uint32_t))
{
    if (count == 0)
        return false;
    (fault.*set)(count - 1);
    return true;
}

/** Sets the response fields that depend on the request. */
void prepare(response &answer, const request &req)
{
    answer.version(req.version());
    answer.keep_alive(req.keep_alive());
    if (answer.result() == http::status::not_modified)
        answer.body().clear();
    else
        answer.prepare_payload();
}

} // namespace

session::session(tcp::socket socket, mode &served, closed_handler closed)
    : m_stream{std::move(socket)}
    , m_timer{m_stream.get_executor()}
    , m_mode{served}
    , m_closed{std::move(closed)}
{ }

void session::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxBodyBytes);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                         if (error)
                             self->finish();
                         else
                             self->requestRead();
                     });
}

void session::close()
{
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
}

void session::requestRead()
{
    m_request = m_parser->release();
    const std::string_view target{m_request.target().data(), m_request.target().size()};
    if (target.starts_with(controlPrefix)) {
        m_answer = m_mode.control(target.substr(controlPrefix.size()), m_request);
        write();
        return;
    }
    m_mode.status().set_requests(m_mode.status().requests() + 1);
    if (m_mode.fault().silent())
        discardInput();
    else
        runAfter(std::chrono::milliseconds{m_mode.fault().slow_ms()}, &session::runRequest);
}

void session::runRequest()
{
    m_mode.answer(m_request, [self = shared_from_this()](response answer) {
        self->m_answer = std::move(answer);
        self->runAfter(std::chrono::milliseconds{self->m_mode.fault().late_ms()},
                       &session::sendAnswer);
    });
}

void session::discardInput()
{
    m_stream.async_read_some(
        asio::buffer(m_discarded),
        [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            if (error)
                self->finish();
            else
                self->discardInput();
        });
}

void session::sendAnswer()
{
    auto &fault = m_mode.fault();
    if (consumeCount(fault.answer_lost(), fault, &wire::standin::fault::set_answer_lost)) {
        finish();
        return;
    }
    if (fault.failing() == wire::standin::FAILING_RESET) {
        reset();
        return;
    }
    if (fault.failing() == wire::standin::FAILING_ERROR)
        m_answer = makeResponse(http::status::internal_server_error, "{}");
    if (consumeCount(fault.truncated(), fault, &wire::standin::fault::set_truncated)) {
        writeTruncated();
        return;
    }
    if (consumeCount(fault.crossed(), fault, &wire::standin::fault::set_crossed))
        std::swap(m_answer, m_mode.previous());
    else
        m_mode.previous() = m_answer;
    write();
}

void session::writeTruncated()
{
    constexpr std::size_t missingBytes = 1;
    m_answer.content_length(m_answer.body().size() + missingBytes);
    http::async_write(
        m_stream, m_answer,
        [self = shared_from_this()](boost::system::error_code, std::size_t) { self->finish(); });
}

void session::write()
{
    prepare(m_answer, m_request);
    http::async_write(m_stream, m_answer,
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          if (error || !self->m_request.keep_alive())
                              self->finish();
                          else
                              self->read();
                      });
}

void session::reset()
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    finish();
}

void session::finish()
{
    close();
    m_closed(shared_from_this());
}

void session::runAfter(std::chrono::milliseconds time, step next)
{
    if (time.count() == 0) {
        (this->*next)();
        return;
    }
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this(), next](boost::system::error_code error) {
        if (!error)
            (*self.*next)();
    });
}

} // namespace azurelb::standin
