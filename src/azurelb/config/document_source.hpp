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
 * The daemon's copy of the documents in the store. Revisions only grow. All calls and handlers run
 * on the daemon's event loop.
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
     * True while the documents are proved recent enough that new work may start: no accepted
     * change older than the freshness bound can be missing.
     */
    [[nodiscard]] virtual bool isConfirmed() const noexcept = 0;

    /** Calls the handler after each change of a document or of isConfirmed(). */
    virtual void subscribe(std::function<void()> changed) = 0;

    /** Commits an operator's change together with its audit record. */
    virtual void submit(const wire::change &change, change_handler done) = 0;

    /**
     * Replaces the fleet document if it still has the revision given, together with the audit
     * records. A lost answer is settled by reading back; conflict means that nothing was written.
     */
    virtual void replaceFleet(const wire::fleet_document &document, revision expected,
                              const std::vector<wire::audit_record> &records,
                              fleet_handler done) = 0;

    /** Reads the newest audit records, newest first. */
    virtual void readAudit(std::size_t most, audit_handler done) = 0;
};

} // namespace azurelb
