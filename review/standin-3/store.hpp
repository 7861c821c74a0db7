#pragma once

#include "http.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace review {

/** The platform's metadata store: keys, conditional writes, leases and watches. Values are kept as
    the base64 text of the protocol. */
class store
{
public:
    explicit store(asio::io_context &loop);

    [[nodiscard]] std::string address() const { return m_server.address(); }

    /** Write of the operator or of an executor. */
    void put(const std::string &key, const json::value &value);
    void remove(const std::string &key);
    /** Decoded value; empty if the key does not exist. */
    [[nodiscard]] std::string value(const std::string &key) const;
    [[nodiscard]] std::size_t count(const std::string &prefix) const;
    /** Writes that were refused because a value is larger than ValueBytes. */
    [[nodiscard]] std::size_t tooLarge() const noexcept { return m_tooLarge; }
    [[nodiscard]] std::size_t largestRefused() const noexcept { return m_largestRefused; }

private:
    struct item
    {
        std::string value{};
        std::int64_t revision{0};
        std::int64_t created{0};
        std::int64_t lease{0};
    };
    struct event
    {
        std::int64_t revision{0};
        std::string key{};
        item state{};
        bool deleted{false};
    };
    struct lease
    {
        milliseconds term{};
        milliseconds ends{};
    };

    asio::awaitable<response> serve(const request &message);
    asio::awaitable<response> watch(std::string target);
    asio::awaitable<void> expireLeases();
    [[nodiscard]] response range(std::string_view target) const;
    [[nodiscard]] response transact(const json::object &in);
    [[nodiscard]] json::object describe(const std::string &key, const item &each) const;
    void set(const std::string &key, std::string value, std::int64_t lease, std::int64_t revision);
    void erase(const std::string &key, std::int64_t revision);
    void endLease(std::int64_t id);

    asio::io_context &m_loop;
    std::map<std::string, item> m_items{};
    std::vector<event> m_events{};
    std::map<std::int64_t, lease> m_leases{};
    std::int64_t m_revision{1000};
    std::int64_t m_lastLease{0};
    std::size_t m_tooLarge{0};
    std::size_t m_largestRefused{0};
    server m_server;
};

} // namespace review
