#pragma once

#include <azurelb/config/applied_change.hpp>

#include <boost/leaf/result.hpp>

namespace azurelb {

/**
 * Applies one change to a copy of the document and writes its audit record; committed_at_ms is
 * left to the caller. The entity gets the document's next generation. Fails with a change_failure:
 * invalid if the change is wrong in itself, conflict if the entity has not the expected generation.
 */
[[nodiscard]] boost::leaf::result<applied_change> applyChange(const wire::config_document &document,
                                                              const wire::change &change);

} // namespace azurelb
