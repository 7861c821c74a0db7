#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/keyspace/fwd.hpp>

namespace azurelb {

/** Revisions of the keys of one job as last seen in the store; 0 for a key that does not exist. */
struct stored_job
{
    job_id id{};
    /** Unchanged for as long as the job exists; another one means that its identifier was used
        again. */
    store_revision record{0};
    store_revision cancel{0};
    store_revision progress{0};
};

} // namespace azurelb
