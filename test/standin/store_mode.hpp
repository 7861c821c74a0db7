#pragma once

#include "kv_state.hpp"
#include "mode.hpp"

#include <optional>

namespace azurelb::standin {

/** Simulates the JSON gateway of etcd v3: range, put, deleterange, txn and leases. */
class store_mode final : public mode
{
public:
    void answer(const request &req, answer_handler done) override;

private:
    using call = response (store_mode::*)(const request &);

    struct route
    {
        std::string_view path;
        call run;
    };

    static const std::array<route, 7> routes;

    void faultChanged() override;
    [[nodiscard]] response range(const request &req);
    [[nodiscard]] response put(const request &req);
    [[nodiscard]] response deleteRange(const request &req);
    [[nodiscard]] response txn(const request &req);
    [[nodiscard]] response grant(const request &req);
    [[nodiscard]] response revoke(const request &req);
    [[nodiscard]] response keepAlive(const request &req);

    [[nodiscard]] kv_state &stateFor(const wire::etcd::txn_request &req);

    /** Runs one operation as a transaction and returns the response of that operation. */
    template <typename Selector>
    [[nodiscard]] response runSingle(const wire::etcd::txn_request &req, Selector select);

    kv_state m_state;
    std::optional<kv_state> m_staleState;
};

} // namespace azurelb::standin
