// Stand-ins of the review: the platform's store, executors, the list of machines and a client, all
// in one process on loopback addresses, and the control of the daemons, which run as processes of
// their own with the command of the deploy file. They follow PROTOCOL.md; where it is silent they
// behave like a sound store, executor or client.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
/** No value: the request gets no answer, and its connection carries nothing more. */
using answer = std::optional<response>;
/** The second argument is the time at which the connection was accepted. */
using handler = std::function<asio::awaitable<answer>(request, clock_type::time_point)>;

/** Writes one line to record.txt, with the seconds since the start. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void openRecord(const std::string &path);

std::int64_t unixMs();
response reply(unsigned status, const json::object &body);
asio::awaitable<void> pause(milliseconds time);

/** HTTP/1.1 server on a free loopback port. */
class server
{
public:
    server(asio::io_context &loop, handler serve);
    [[nodiscard]] unsigned short port() const { return m_port; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    handler m_handler;
    unsigned short m_port;
};

/** What the store does to the calls of one daemon. */
struct store_faults
{
    /** Partitioned: calls are neither executed nor answered. */
    bool cut{false};
    /** Partitioned, with resets: calls are not executed and their connections end. */
    bool reset{false};
    /** Answers 503 and does nothing. */
    bool busy{false};
    /** Called with the path and query, and the body of the answer: true if the answer is lost. */
    std::function<bool(const std::string &target, const std::string &body)> loses{};
    /** Called with the body of a write; a time if it gets no answer and is executed that much
        later. */
    std::function<std::optional<milliseconds>(const json::object &write)> executesLate{};
};

/** The platform's store. */
class store
{
public:
    explicit store(asio::io_context &loop)
        : m_loop{loop}
    { }
    struct item
    {
        std::string value{};
        std::int64_t revision{0};
        std::int64_t created{0};
        std::int64_t lease{0};
    };
    asio::awaitable<answer> serve(store_faults &faults, request call);
    std::int64_t put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void remove(const std::string &key);
    [[nodiscard]] std::string get(const std::string &key) const;
    [[nodiscard]] std::int64_t revisionOf(const std::string &key) const;
    /** Begins anew; the revisions go on. */
    void clear();
    /** Saves and loads all keys that are under no lease. */
    void save(const std::string &path) const;
    bool load(const std::string &path);
    /** Called with each key that changes. */
    std::function<void(const std::string &key)> onChange{};

private:
    struct event
    {
        std::string key{};
        std::string value{};
        std::int64_t revision{0};
        bool deleted{false};
    };
    struct lease
    {
        milliseconds term{0};
        clock_type::time_point end{};
    };
    void expire();
    void apply(const std::string &key, const std::string *value, std::int64_t lease);
    response commit(const json::object &in);
    static json::object encode(const std::string &key, const item &each);
    asio::io_context &m_loop;
    std::map<std::string, item> m_items{};
    std::deque<event> m_history{};
    std::map<std::int64_t, lease> m_leases{};
    std::int64_t m_revision{1};
    std::int64_t m_lastLease{0};
};

/** One life of a machine, as PROTOCOL.md describes it under "Running tasks". */
struct executor
{
    struct run
    {
        std::int64_t number{0};
        clock_type::time_point startedAt{};
        milliseconds duration{0};
        bool lasts{false};
        std::string how{"done"};
        bool stopping{false};
        clock_type::time_point stopsAt{};
    };
    struct end
    {
        std::int64_t sequence{0};
        std::string task{};
        std::int64_t number{0};
        std::string how{};
        clock_type::time_point at{};
    };
    std::string id{};
    std::string machine{};
    std::string pool{};
    std::string zone{"milano"};
    std::int64_t cpu{64'000};
    std::int64_t memory{131'072};
    milliseconds stopTime{400};
    std::int64_t born{0};
    clock_type::time_point startedAt{};
    std::int64_t token{0};
    std::int64_t leaseEnd{0};
    bool leaseHeld{false};
    std::map<std::string, run> running{};
    std::map<std::string, std::int64_t> highest{};
    std::deque<end> ends{};
    std::int64_t lastSequence{0};
    std::vector<clock_type::time_point> lapses{};
    bool up{true};
    /** Number of this life. Connections that an earlier life accepted carry nothing more. */
    int life{1};
    /** True if the link to the sender of this call is cut. */
    std::function<bool(const std::string &path, const json::object &in)> cutFrom{};
    std::unique_ptr<server> listener{};

    [[nodiscard]] std::int64_t clock(clock_type::time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - startedAt).count();
    }
};

/** A daemon, as a process of its own. */
struct daemon_process
{
    std::string name{};
    std::string flagfile{};
    std::string log{};
    unsigned short callers{0};
    store_faults faults{};
    std::unique_ptr<server> storePort{};
    std::unique_ptr<server> vmPort{};
    int pid{0};
};

struct call_result
{
    /** 0: no answer. */
    unsigned status{0};
    std::string body{};
};

class world
{
public:
    world(asio::io_context &loop, std::string program, std::string folder);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    daemon_process &addDaemon(const std::string &name);
    void start(daemon_process &which);
    void signal(daemon_process &which, int number);
    /** Ends the process and waits for it. */
    void kill(daemon_process &which);
    [[nodiscard]] bool hasEnded(daemon_process &which);
    executor &addExecutor(const std::string &id, const std::string &machine,
                          const std::string &pool);
    void registerExecutor(const executor &which);
    /** The executor's machine loses power: everything there ends, and nothing is answered. */
    void losePower(executor &which);
    /** A new life of the executor, under its id and at its address; it registers after a time. */
    void startAgain(executor &which, milliseconds registersAfter);
    void writeConfig(std::int64_t version);

    /** Name of the daemon that holds the owner's key in the store; empty for none. */
    [[nodiscard]] std::string owner() const;
    daemon_process *findDaemon(const std::string &name);
    asio::awaitable<bool> waitUntil(std::function<bool()> holds, milliseconds atMost);
    asio::awaitable<call_result> call(daemon_process &to, http::verb method, std::string target,
                                      std::string body = {},
                                      milliseconds deadline = milliseconds{3000});

    /** Rule TWICE, as written: returns the number of starts that break it, and records them. */
    int checkTwice();

    asio::io_context &loop;
    store platformStore;
    std::vector<std::unique_ptr<daemon_process>> daemons{};
    std::vector<std::unique_ptr<executor>> executors{};
    std::string service{"lofts"};
    std::string recordedEnds{};
    /** A run that has begun on an executor. */
    struct start_event
    {
        std::string task{};
        std::int64_t number{0};
        std::string executor{};
        clock_type::time_point at{};
        std::int64_t token{0};
        /** Another run of the task that was present on an executor that was up. */
        std::string besides{};
    };
    struct end_event
    {
        std::string task{};
        std::int64_t number{0};
        std::string executor{};
        std::string how{};
        clock_type::time_point at{};
        bool takenNote{false};
    };
    std::vector<start_event> starts{};
    std::vector<end_event> endings{};
    bool logRuns{true};
    std::function<answer(const std::string &target, const request &)> vmOrder{};
    std::function<json::array()> machineList{};

private:
    asio::awaitable<answer> serveExecutor(executor &which, request call,
                                          clock_type::time_point acceptedAt);
    asio::awaitable<answer> serveVms(request call);
    asio::awaitable<void> tick();
    void advance(executor &which);
    void finish(executor &which, const std::string &task, const std::string &how);
    answer startRun(executor &which, const json::object &in);
    answer stopRun(executor &which, const json::object &in);
    asio::awaitable<answer> hold(executor &which, json::object in);
    void acknowledge(executor &which, std::int64_t lastSeen);
    void takeLease(executor &which, std::int64_t expires);
    std::string m_program;
    std::string m_folder;
};

unsigned short freePort();

} // namespace review
