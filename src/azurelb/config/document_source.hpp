#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/service.hpp>

#include <vector>

namespace azurelb {

namespace wire {
class audit_list;
class audit_record;
class change;
class fleet_document;
} // namespace wire

/**
 * The daemon's replica of the documents in the store. Revisions never decrease. All calls and
 * handlers run on the daemon's event loop.
 */
class document_source : public service
{
public:
    using audit_handler = std::function<void(change_error, const wire::audit_list &)>;

    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"documents"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Newest known configuration; never null. */
    [[nodiscard]] virtual config_view_ptr config() const noexcept = 0;

    /** Newest known fleet state; never null. */
    [[nodiscard]] virtual fleet_view_ptr fleet() const noexcept = 0;

    /**
     * True while the documents are confirmed to be recent enough to start new work: no accepted
     * change older than the freshness limit can be missing.
     */
    [[nodiscard]] virtual bool isConfirmed() const noexcept = 0;

    /** Calls the handler after each change of a document or of isConfirmed(). */
    virtual void subscribe(std::function<void()> changed) = 0;

    /** Commits an operator's change together with its audit record. */
    virtual void submit(const wire::change &change, change_handler done) = 0;

    /**
     * Writes the fleet document and the audit records in one transaction if the stored document
     * still has the expected revision. After a lost response the outcome is determined by reading
     * back; conflict means that nothing was written.
     */
    virtual void replaceFleet(const wire::fleet_document &document, revision expected,
                              const std::vector<wire::audit_record> &records,
                              fleet_handler done) = 0;

    /** Reads the newest audit records, newest first. */
    virtual void readAudit(std::size_t most, audit_handler done) = 0;
};

} // namespace azurelb
