#pragma once

#include "kv_state.hpp"
#include "mode.hpp"

#include <optional>

namespace azurelb::standin {

/** The JSON gateway of etcd v3: range, put, deleterange, txn and leases. */
class store_mode final : public mode
{
public:
    void answer(const request &asked, answer_handler done) override;

private:
    using call = response (store_mode::*)(const request &);

    struct route
    {
        std::string_view path;
        call run;
    };

    static const std::array<route, 7> routes;

    void faultChanged() override;
    [[nodiscard]] response range(const request &asked);
    [[nodiscard]] response put(const request &asked);
    [[nodiscard]] response deleteRange(const request &asked);
    [[nodiscard]] response txn(const request &asked);
    [[nodiscard]] response grant(const request &asked);
    [[nodiscard]] response revoke(const request &asked);
    [[nodiscard]] response keepAlive(const request &asked);

    [[nodiscard]] kv_state &stateFor(const wire::etcd::txn_request &asked);

    /** Runs one operation as a transaction and answers the operation's own response. */
    template <typename Take>
    [[nodiscard]] response single(const wire::etcd::txn_request &asked, Take take);

    kv_state m_state;
    std::optional<kv_state> m_old;
};

} // namespace azurelb::standin
