#pragma once

#include <azurelb/config/applied_change.hpp>

#include <boost/leaf/result.hpp>

namespace azurelb {

/**
 * Applies one change to a copy of the document and builds its audit record; the caller sets
 * committed_at_ms. The changed entity gets the document's next generation. Fails with a
 * change_failure: invalid if the change violates a rule, conflict if the entity does not have the
 * expected generation.
 */
[[nodiscard]] boost::leaf::result<applied_change> applyChange(const wire::config_document &document,
                                                              const wire::change &change);

} // namespace azurelb
