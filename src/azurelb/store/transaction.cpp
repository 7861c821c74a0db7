#include <azurelb/store/transaction.hpp>

namespace azurelb {

namespace etcd = wire::etcd;

void requireModRevision(etcd::txn_request &transaction, const std::string &key,
                        std::int64_t modRevision)
{
    etcd::compare &condition = *transaction.add_compare();
    condition.set_key(key);
    condition.set_target(etcd::compare::MOD);
    condition.set_result(etcd::compare::EQUAL);
    condition.set_mod_revision(modRevision);
}

void requireAbsent(etcd::txn_request &transaction, const std::string &key)
{
    etcd::compare &condition = *transaction.add_compare();
    condition.set_key(key);
    condition.set_target(etcd::compare::CREATE);
    condition.set_result(etcd::compare::EQUAL);
    condition.set_create_revision(0);
}

void requireValue(etcd::txn_request &transaction, const std::string &key, const std::string &value)
{
    etcd::compare &condition = *transaction.add_compare();
    condition.set_key(key);
    condition.set_target(etcd::compare::VALUE);
    condition.set_result(etcd::compare::EQUAL);
    condition.set_value(value);
}

void putOnSuccess(etcd::txn_request &transaction, const std::string &key, const std::string &value)
{
    etcd::put_request &put = *transaction.add_success()->mutable_request_put();
    put.set_key(key);
    put.set_value(value);
}

void deleteOnSuccess(etcd::txn_request &transaction, const std::string &key)
{
    transaction.add_success()->mutable_request_delete_range()->set_key(key);
}

void readOnSuccess(etcd::txn_request &transaction, const std::string &key)
{
    transaction.add_success()->mutable_request_range()->set_key(key);
}

void readOnFailure(etcd::txn_request &transaction, const std::string &key)
{
    transaction.add_failure()->mutable_request_range()->set_key(key);
}

std::string prefixEnd(std::string prefix)
{
    constexpr char last = '\xff';
    while (!prefix.empty() && prefix.back() == last)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

} // namespace azurelb
