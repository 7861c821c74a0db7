#pragma once

#include <azurelb/wire/config.pb.h>

#include <string>

namespace azurelb {

/** Changes and documents that the tests of this module share. */
inline wire::change sampleChange(const std::string &id)
{
    wire::change change;
    change.set_id(id);
    change.set_operator_name("anna");
    return change;
}

inline wire::change poolChange(const std::string &id, const std::string &name, bool spare = false)
{
    wire::change change = sampleChange(id);
    wire::pool &pool = *change.mutable_put_pool();
    pool.set_name(name);
    pool.set_minimum_vms(1);
    pool.set_maximum_vms(4);
    pool.set_unavailable_vms(1);
    pool.set_spare(spare);
    return change;
}

inline wire::change teamChange(const std::string &id, const std::string &name,
                               std::uint32_t limit = 10)
{
    wire::change change = sampleChange(id);
    change.mutable_put_team()->set_name(name);
    change.mutable_put_team()->set_share(100);
    change.mutable_put_team()->set_limit(limit);
    return change;
}

inline wire::change keyChange(const std::string &id, const std::string &key,
                              const std::string &team, char fill = 'd')
{
    wire::change change = sampleChange(id);
    change.mutable_add_key()->set_id(key);
    change.mutable_add_key()->set_team(team);
    change.mutable_add_key()->set_digest(std::string(32, fill));
    return change;
}

inline wire::change queueChange(const std::string &id, const std::string &name,
                                const std::string &pool)
{
    wire::change change = sampleChange(id);
    change.mutable_put_queue()->set_name(name);
    change.mutable_put_queue()->set_pool(pool);
    return change;
}

inline wire::change zoneChange(const std::string &id, const std::string &zone, bool out)
{
    wire::change change = sampleChange(id);
    out ? change.set_zone_out(zone) : change.set_zone_in(zone);
    return change;
}

} // namespace azurelb
