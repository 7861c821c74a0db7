#include <azurelb/config/local_documents.hpp>
#include <azurelb/log/log.hpp>

namespace azurelb {

namespace {

template <typename View, typename Document>
apply_outcome apply(std::shared_ptr<const View> &held, Document document, const std::string &value,
                    revision at)
{
    if (at <= held->storeRevision())
        return apply_outcome::not_newer;
    if (!document.ParseFromString(value)) {
        logEvent(event::document_malformed, {{"revision", static_cast<std::int64_t>(at)}});
        return apply_outcome::malformed;
    }
    held = std::make_shared<View>(std::move(document), at);
    return apply_outcome::applied;
}

} // namespace

apply_outcome local_documents::applyConfig(const std::string &value, revision at)
{
    return apply(m_config, wire::config_document{}, value, at);
}

apply_outcome local_documents::applyFleet(const std::string &value, revision at)
{
    return apply(m_fleet, wire::fleet_document{}, value, at);
}

} // namespace azurelb
