#pragma once

#include <azurelb/metrics/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <array>

namespace azurelb::internal {

/** Metrics of the document replica. */
struct document_metrics
{
    explicit document_metrics(metrics &registry)
        : configRevision{revisionOf(registry, "config")}
        , fleetRevision{revisionOf(registry, "fleet")}
        , confirmationAge{registry.gauge(
              "azurelb_documents_confirmation_age_seconds",
              "Time since the documents were last confirmed to be complete.")}
        , confirmed{registry.gauge("azurelb_documents_confirmed",
                                   "1 while the documents are recent enough to start new work.")}
        , reads{callsOf(registry, "read")}
        , commits{callsOf(registry, "commit")}
        , failures{registry.counter(
              "azurelb_store_read_failures_total",
              "Reads of the documents that failed or returned outdated data.")}
        , fetches{registry.counter("azurelb_document_fetches_total",
                                   "Document requests sent to peers.")}
        , changes{changesOf(registry, "accepted"),    changesOf(registry, "invalid"),
                  changesOf(registry, "conflict"),    changesOf(registry, "budget"),
                  changesOf(registry, "unavailable"), changesOf(registry, "unknown")}
    { }

    static prometheus::Gauge &revisionOf(metrics &registry, const std::string &document)
    {
        return registry.gauge("azurelb_document_revision", "Revision of the local document.",
                              {{"document", document}});
    }

    static prometheus::Counter &callsOf(metrics &registry, const std::string &kind)
    {
        return registry.counter("azurelb_document_store_calls_total",
                                "Calls to the store for the documents.", {{"kind", kind}});
    }

    static prometheus::Counter *changesOf(metrics &registry, const std::string &outcome)
    {
        return &registry.counter("azurelb_changes_total", "Changes requested by operators.",
                                 {{"outcome", outcome}});
    }

    prometheus::Gauge &configRevision;
    prometheus::Gauge &fleetRevision;
    prometheus::Gauge &confirmationAge;
    prometheus::Gauge &confirmed;
    prometheus::Counter &reads;
    prometheus::Counter &commits;
    prometheus::Counter &failures;
    prometheus::Counter &fetches;
    /** Indexed by change_error. */
    std::array<prometheus::Counter *, 6> changes;
};

} // namespace azurelb::internal
