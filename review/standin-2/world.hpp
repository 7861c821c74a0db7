#pragma once

#include "http.hpp"

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/** Stand-ins of the platform for the cases of this review: its store, its machines service,
    executors and callers, all on loopback addresses and the real clock. */
namespace standin {

/** Milliseconds since the start of the program. */
std::int64_t elapsedMs();
std::int64_t unixMs();
void sleepMs(std::int64_t time);

/** Writes a line with the time to the record of the case. */
void record(const std::string &line);

/** The platform's store, with the answer time of the pages. */
class store
{
public:
    struct commit_info
    {
        std::vector<std::string> puts;
        std::vector<std::string> removals;
        /** Values of the puts. */
        std::vector<std::string> values;
        bool hasConditions{false};
    };

    store();

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /** Writes as the operator or an executor does. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::string get(const std::string &key);
    [[nodiscard]] std::map<std::string, std::string> list(const std::string &prefix);

    /** Called after each write of the system that was applied, before it is answered. */
    std::function<void(const commit_info &)> onCommit;
    /** Chosen for a write of the system: it gets no answer and is done after this time, if its
        condition still holds then. 0: it is done and answered. */
    std::function<std::int64_t(const commit_info &, const std::string &body)> delayWithoutAnswer;
    /** Time in which a call is answered. */
    std::int64_t answerMs{4};

private:
    struct item
    {
        std::string value;
        std::int64_t revision{0};
        std::int64_t created{0};
        std::int64_t lease{0};
    };
    struct change
    {
        std::string key;
        std::int64_t revision;
        bool deleted;
        std::string value;
    };
    struct lease
    {
        std::int64_t term;
        std::int64_t end;
    };

    std::optional<http_response> answer(const http_request &request);
    http_response getKey(const http_request &request);
    http_response getRange(const http_request &request);
    http_response watch(const http_request &request);
    std::optional<http_response> transact(const http_request &request);
    http_response commit(const std::string &body);
    http_response changeLease(const http_request &request);
    void apply(const std::string &key, const std::string *value, std::int64_t leaseId);
    void expireLeases();
    std::string encode(const std::string &key, const item &entry) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision{1};
    std::int64_t m_lastLease{0};
    std::uint16_t m_port{0};
};

/** Runs of all executors: what a case checks. */
struct run_event
{
    std::int64_t at;
    std::string kind;
    std::string task;
    std::int64_t run;
    std::string executor;
    /** Number in the executor's list of ends. */
    std::int64_t number{0};
    std::string checkpoint{};
};

class executor
{
public:
    struct options
    {
        std::string id;
        std::string machine;
        std::string service;
        std::string zone;
        std::int64_t cpu{64000};
        std::int64_t memory{131072};
        std::string rack{"r1-1"};
    };

    executor(store &platform, options with);

    /** Registers, as at each start. */
    void start();
    /** Cuts it off from the daemons: it runs on, requests are neither answered nor carried out. */
    void cut();
    void heal();

    [[nodiscard]] const options &settings() const { return m_options; }
    [[nodiscard]] bool isUp() const { return m_up; }

    static std::int64_t maxHoldMs;
    static std::int64_t stopGraceMs;
    static std::int64_t gangWaitMs;
    /** Tasks of each gang step (ID.K.STEP). */
    static std::map<std::string, std::size_t> gangSizes;
    /** Time of work of a run, in milliseconds; by its task. */
    static std::function<std::int64_t(const std::string &task)> workMs;
    /** Tasks whose events are not written to the record. */
    static std::function<bool(const std::string &task)> isQuiet;
    /** All events so far. */
    static std::vector<run_event> events();
private:
    struct run
    {
        std::int64_t id;
        std::int64_t presentAt;
        /** When the work began; 0 for a gang that is not complete. */
        std::int64_t begunAt{0};
        std::int64_t stopAt{0};
    };
    struct end
    {
        std::int64_t number;
        std::string task;
        std::int64_t run;
        std::string how;
    };

    std::optional<http_response> answer(const http_request &request);
    http_response startRun(const std::string &body);
    http_response stopRun(const std::string &body);
    std::optional<http_response> hold(const std::string &body);
    void tick();
    void finish(const std::string &task, const std::string &how);
    void extendLease(std::int64_t expires);
    std::int64_t clock() const;
    void note(const std::string &kind, const std::string &task, std::int64_t run,
              std::int64_t number = 0);

    store &m_store;
    options m_options;
    std::uint16_t m_port{0};
    bool m_up{false};
    bool m_cut{false};
    std::int64_t m_born{0};
    std::int64_t m_bornAt{0};
    std::int64_t m_token{0};
    std::int64_t m_lease{0};
    std::int64_t m_lastNumber{0};
    std::map<std::string, run> m_runs;
    std::deque<end> m_ends;
    std::map<std::string, std::int64_t> m_highest;
};

/** The machines service: lists the machines of the executors; there is nothing to move. */
std::uint16_t serveMachines(const std::vector<executor *> &executors);

/** A daemon, started by the command of the deploy file. */
class daemon_process
{
public:
    daemon_process(std::string vm, std::string zone, std::uint16_t store, std::uint16_t machines);

    void start();
    void signal(int number);
    /** Waits for the end of the process; kills it at the limit. */
    void join(std::int64_t limitMs);
    [[nodiscard]] bool hasEnded();
    [[nodiscard]] bool isReady();
    [[nodiscard]] std::uint16_t front() const { return m_front; }
    [[nodiscard]] const std::string &vm() const { return m_vm; }

private:
    std::string m_vm;
    std::string m_flags;
    std::uint16_t m_front;
    std::uint16_t m_ready;
    pid_t m_process{0};
    int m_starts{0};
};

/** Calls of a caller; each is written to the record. */
struct caller
{
    std::string host{"seats.example"};
    std::string key;

    [[nodiscard]] http_response send(daemon_process &to, const std::string &method,
                                     const std::string &path, const std::string &body = {}) const;
};

/** Waits until the condition holds; false after the time. */
bool waitFor(std::int64_t limitMs, const std::function<bool()> &condition);

} // namespace standin
